/// Tests that nothing which is no request of a caller ends the time that an upstream asked for.
#include <gtest/gtest.h>

#include "answering_upstreams.h"

namespace hawthorndrum {
namespace {

class TimeAskedHoldsTest : public AnsweringUpstreamsTest {
 protected:
  bool IsAskedNow() {
    const std::size_t before = SentCount("a");
    Ask("/look/x");
    return SentCount("a") > before;
  }
};

// Guards against requests in the time asked for after another writer had listed the upstream.
TEST_F(TimeAskedHoldsTest, AnEntryWithoutTheTimeOfBirthIsNoNewInstance) {
  ListOnly({Entry("a")});
  Ask("/look/x");
  RefuseWith({{"Retry-After", "4"}});
  ListOnly({Entry("a", "desk", 0)});
  Pass(seconds(1));
  EXPECT_FALSE(IsAskedNow());
  ListOnly({Entry("a", "desk", 1)});
  Pass(seconds(1));
  EXPECT_FALSE(IsAskedNow());
}

TEST_F(TimeAskedHoldsTest, AnInstanceWhoseTimeOfBirthIsListedLaterIsTheSame) {
  ListOnly({Entry("a", "desk", 0)});
  Ask("/look/x");
  RefuseWith({{"Retry-After", "4"}});
  ListOnly({Entry("a", "desk", 1)});
  Pass(seconds(1));
  EXPECT_FALSE(IsAskedNow());
  ListOnly({Entry("a", "desk", 2)});
  EXPECT_TRUE(IsAskedNow()) << "a new instance";
}

TEST_F(TimeAskedHoldsTest, NoHandleIsDroppedThere) {
  ListOnly({Engine("p", engine_stage::kPrefill), Engine("d", engine_stage::kDecode)});
  const request_id id = AskPrompt("/tell/x", "aa", 9000, 5000);
  ASSERT_EQ(SentTo(), "p");
  PrefillDone();
  ASSERT_EQ(SentTo(), "d");
  AskPrompt("/tell/x", "aa", 9000, 5000);
  ASSERT_EQ(SentTo(), "p");
  RefuseWith({{"Retry-After", "4"}});
  served.OnCallerGone(id);
  EXPECT_TRUE(upstreams.notified.empty());
}

}  // namespace
}  // namespace hawthorndrum
