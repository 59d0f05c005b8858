/// Tests of the fake object store that other tests use.
#include <gtest/gtest.h>

#include "fake_object_store.h"

namespace hawthorndrum {
namespace {

class recorder : public store_listener {
 public:
  void OnStoreAnswer(store_call_id, const store_answer& answer) override { last = answer; }
  store_answer last;
};

store_call Create(std::string value) {
  store_call call;
  call.operation = store_operation::kCreate;
  call.key = "k";
  call.value = std::move(value);
  return call;
}

TEST(StoreFake, SecondCreateConflicts) {
  fake_object_store store;
  fake_store_client client(store, 0);
  recorder listener;
  client.Submit(Create("a"), listener);
  store.RunAll();
  EXPECT_EQ(listener.last.outcome, store_outcome::kDone);
  client.Submit(Create("b"), listener);
  store.RunAll();
  EXPECT_EQ(listener.last.outcome, store_outcome::kConflict);
  EXPECT_EQ(store.objects().at("k").value, "a");
}

TEST(StoreFake, LostAnswerTookEffect) {
  fake_object_store store;
  fake_store_client client(store, 0);
  recorder listener;
  client.Submit(Create("a"), listener);
  store.RunAtLosingAnswer(0);
  EXPECT_EQ(listener.last.outcome, store_outcome::kUnknown);
  EXPECT_EQ(store.objects().count("k"), 1u);
}

TEST(StoreFake, DelayedWriteLandsLater) {
  fake_object_store store;
  fake_store_client client(store, 0);
  recorder listener;
  client.Submit(Create("a"), listener);
  const store_call late = store.DelayAt(0);
  EXPECT_TRUE(store.objects().empty());
  store.Apply(late);
  EXPECT_EQ(store.objects().count("k"), 1u);
}

}  // namespace
}  // namespace hawthorndrum
