/// Where parts are asked for, and how the head in the store is followed, call by call.
#include <gtest/gtest.h>

#include "fake_object_store.h"
#include "fake_random_source.h"
#include "systems/config_codec.h"
#include "systems/config_fetch.h"
#include "systems/config_message_codec.h"
#include "systems/config_store_watch.h"

namespace hawthorndrum {
namespace {

/** Keeps what is sent. */
class sent_list : public peer_port {
 public:
  void Send(peer_id to, peer_message message) override { sent.push_back({to, std::move(message)}); }
  const std::vector<live_peer>& Peers() const override { return none_; }
  peer_id self() const override { return peer_id(1); }

  std::vector<std::pair<peer_id, peer_message>> sent;

 private:
  std::vector<live_peer> none_;
};

/** Takes parts whose bytes are what the digest names. */
class part_list : public part_listener {
 public:
  bool OnPart(const content_digest& digest, const std::string& bytes) override {
    const bool whole = content_digest::Of(bytes) == digest;
    if (whole) taken.push_back(bytes);
    return whole;
  }

  std::vector<std::string> taken;
};

/** A fetch of one part from the peers 2 and 3, and a store that has nothing yet. */
struct one_fetch {
  one_fetch() {
    fetch.Restart(false, now);
    fetch.AddHolder(peer_id(2));
    fetch.AddHolder(peer_id(3));
  }

  void RunAfter(duration time) {
    now += time;
    fetch.Run(now, {wanted});
  }

  fake_object_store store;
  fake_store_client client{store, 0};
  sent_list peers;
  fake_random_source random;
  metrics_registry metrics;
  part_list parts;
  config_fetch fetch{client, peers, random, metrics, parts};
  time_point now{seconds(100)};
  content_digest wanted = content_digest::Of("bytes");
};

TEST(ConfigFetch, ASilentPeerIsNotAskedAgainAndTheStoreIsTheLastResort) {
  one_fetch one;
  one.RunAfter(duration(0));
  ASSERT_EQ(one.peers.sent.size(), 1U);
  one.RunAfter(milliseconds(500));
  EXPECT_EQ(one.peers.sent.size(), 1U) << "asked while the first request is open";
  one.RunAfter(milliseconds(600));
  ASSERT_EQ(one.peers.sent.size(), 2U);
  EXPECT_NE(one.peers.sent[0].first, one.peers.sent[1].first);
  EXPECT_TRUE(one.store.waiting().empty());
  one.RunAfter(milliseconds(1100));
  EXPECT_EQ(one.peers.sent.size(), 2U);
  ASSERT_EQ(one.store.waiting().size(), 1U);
  EXPECT_EQ(one.store.waiting()[0].call.key, PartKey(one.wanted));
}

TEST(ConfigFetch, APeerWithoutOrWithADamagedPartIsLeft) {
  one_fetch one;
  one.RunAfter(duration(0));
  one.fetch.OnPeerPart(one.peers.sent[0].first, one.wanted, false, {});
  one.RunAfter(milliseconds(1));
  ASSERT_EQ(one.peers.sent.size(), 2U);
  EXPECT_NE(one.peers.sent[0].first, one.peers.sent[1].first);
  one.fetch.OnPeerPart(one.peers.sent[1].first, one.wanted, true, "damaged");
  EXPECT_TRUE(one.parts.taken.empty());
  one.RunAfter(milliseconds(1));
  EXPECT_EQ(one.store.waiting().size(), 1U);
}

TEST(ConfigFetch, OnlyWhoWasAskedIsHeard) {
  one_fetch one;
  one.RunAfter(duration(0));
  one.fetch.OnPeerPart(peer_id(9), one.wanted, true, "bytes");
  EXPECT_TRUE(one.parts.taken.empty());
  one.fetch.OnPeerPart(one.peers.sent[0].first, one.wanted, true, "bytes");
  EXPECT_EQ(one.parts.taken.size(), 1U);
  one.fetch.OnPeerPart(one.peers.sent[0].first, one.wanted, true, "bytes");
  EXPECT_EQ(one.parts.taken.size(), 1U) << "taken twice";
}

TEST(ConfigFetch, APartThatTheStoreLacksDelaysNoOther) {
  one_fetch one;
  one.fetch.Restart(true, one.now);
  const content_digest other = content_digest::Of("other");
  one.fetch.Run(one.now, {one.wanted, other});
  ASSERT_EQ(one.store.waiting().size(), 2U);
  one.store.RunAt(0);
  one.fetch.Run(one.now, {one.wanted, other, content_digest::Of("third")});
  EXPECT_EQ(one.store.waiting().size(), 2U) << "the third, and not the missing one again";
}

/** Keeps the heads that the store showed. */
class head_list : public store_head_listener {
 public:
  void OnStoreHead(const std::string& bytes) override { heads.push_back(bytes); }
  void OnStoreHeadMissing() override { missing += 1; }

  std::vector<std::string> heads;
  int missing = 0;
};

struct one_watch {
  one_watch() { watch.SetWatching(true); }

  /** Lets the next call be made and returns it. */
  const store_call& Next() {
    now += seconds(10);
    watch.Run(now);
    return store.waiting().at(0).call;
  }

  /** Answers the open call. */
  void Answer(store_answer answer) {
    const store_call_id id = store.waiting().at(0).id;
    store.DropClient(0, false);
    watch.OnStoreAnswer(id, answer);
  }

  static store_answer Done(std::uint64_t version, const std::string& value = {}) {
    store_answer answer;
    answer.outcome = store_outcome::kDone;
    answer.version = object_version(version);
    answer.value = value;
    return answer;
  }

  fake_object_store store;
  fake_store_client client{store, 0};
  fake_random_source random;
  metrics_registry metrics;
  head_list heads;
  config_store_watch watch{client, random, metrics, heads};
  time_point now{seconds(100)};
};

TEST(ConfigStoreWatch, ReadsThenWatchesThenReads) {
  one_watch one;
  EXPECT_EQ(one.Next().operation, store_operation::kGet);
  one.Answer(one_watch::Done(5, "head"));
  EXPECT_EQ(one.heads.heads, std::vector<std::string>{"head"});
  EXPECT_EQ(one.Next().operation, store_operation::kWatch);
  EXPECT_EQ(one.store.waiting()[0].call.expected, object_version(5));
  one.Answer(one_watch::Done(9));
  EXPECT_EQ(one.Next().operation, store_operation::kGet);
  one.Answer(one_watch::Done(5, "head"));
  EXPECT_EQ(one.Next().expected, object_version(9));
}

TEST(ConfigStoreWatch, ListsWhenTheRevisionIsTooOld) {
  one_watch one;
  one.Next();
  one.Answer(one_watch::Done(5, "head"));
  EXPECT_EQ(one.Next().operation, store_operation::kWatch);
  store_answer stale;
  stale.outcome = store_outcome::kStale;
  one.Answer(stale);
  EXPECT_EQ(one.Next().operation, store_operation::kList);
  one.Answer(one_watch::Done(70));
  EXPECT_EQ(one.Next().operation, store_operation::kGet);
  one.Answer(one_watch::Done(5, "head"));
  EXPECT_EQ(one.Next().expected, object_version(70));
}

TEST(ConfigStoreWatch, WaitsAfterAFailure) {
  one_watch one;
  one.Next();
  one.Answer(store_answer{});
  EXPECT_FALSE(one.watch.answering());
  one.watch.Run(one.now);
  EXPECT_TRUE(one.store.waiting().empty());
  EXPECT_EQ(one.Next().operation, store_operation::kGet);
}

TEST(ConfigStoreWatch, WhoDoesNotWatchReadsOnceOnly) {
  one_watch one;
  one.watch.SetWatching(false);
  one.Next();
  store_answer missing;
  missing.outcome = store_outcome::kMissing;
  one.Answer(missing);
  EXPECT_EQ(one.heads.missing, 1);
  one.now += seconds(60);
  one.watch.Run(one.now);
  EXPECT_TRUE(one.store.waiting().empty());
}

}  // namespace
}  // namespace hawthorndrum
