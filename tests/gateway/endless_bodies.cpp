/// Tests of upstreams whose answers have no end: memory stays bounded, other requests are not
/// affected.
#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <string>
#include <vector>

#include "gateway_fixture.h"

namespace hawthorndrum {
namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;

class EndlessBodiesTest : public GatewayFixtureTest {
 protected:
  /** Sends bytes to the call until it is cancelled, at most `limit`; returns how many were taken.
   */
  std::size_t Flood(std::size_t call, std::size_t limit) {
    const std::string part(64 * 1024, 'x');
    std::size_t taken = 0;
    while (taken < limit && !upstreams.sent[call].cancelled) {
      served.OnAttemptBytes({upstreams.sent[call].call.attempt, part});
      taken += part.size();
    }
    return taken;
  }

  /**
   * Sends bytes to all calls from `first` on in turn, a megabyte to each; returns the most that was
   * buffered.
   */
  std::size_t FloodTogether(std::size_t first = 0) {
    const std::string part(64 * 1024, 'x');
    std::vector<std::size_t> taken(upstreams.sent.size(), 0);
    std::size_t most = 0;
    for (std::size_t sent = 0; sent < kMegabyte; sent += part.size()) {
      for (std::size_t i = first; i < taken.size(); ++i) {
        if (upstreams.sent[i].cancelled) continue;
        served.OnAttemptBytes({upstreams.sent[i].call.attempt, part});
        taken[i] = upstreams.sent[i].cancelled ? 0 : taken[i] + part.size();
        most = std::max(most, std::accumulate(taken.begin(), taken.end(), std::size_t{0}));
      }
    }
    return most;
  }
};

TEST_F(EndlessBodiesTest, APrefillsAnswerWithoutEndIsCutOffEarly) {
  Add("d", "llm", engine_stage::kDecode);
  Add("p", "llm", engine_stage::kPrefill);
  AskPrompt("/note/x", "aa", 9000, 5000);
  ASSERT_EQ(SentHeader("X-Hawthorndrum-Stage"), "prefill");
  served.OnAttemptHead({last().call.attempt, 200, {}});
  EXPECT_LE(Flood(0, 4 * kMegabyte), kMegabyte);
  EXPECT_TRUE(upstreams.sent[0].cancelled);
}

TEST_F(EndlessBodiesTest, AnswersThatAreBufferedAtOnceAreBoundedTogether) {
  for (const char* id : {"a", "b", "c", "d"}) Add(id, "desk");
  constexpr std::size_t kRequests = 16;
  std::vector<request_id> ids;
  for (std::size_t i = 0; i < kRequests; ++i) {
    ids.push_back(Ask("/pay/" + std::to_string(i)));
    Head(200);
  }
  ASSERT_EQ(upstreams.sent.size(), kRequests);
  std::size_t held = 0;
  for (std::size_t i = 0; i < kRequests; ++i) {
    const std::size_t taken = Flood(i, 15 * kMegabyte);
    if (!upstreams.sent[i].cancelled) held += taken;
  }
  EXPECT_LE(held, 64 * kMegabyte);
  EXPECT_GE(held, 15 * kMegabyte) << "large answers are delivered as long as there is room";
}

// Guards against many answers, none of them large, that together take the host's memory.
TEST_F(EndlessBodiesTest, ManyAnswersWithoutEndStayWithinTheBudgetAndCutNoSmallOne) {
  for (int i = 0; i < 60; ++i) Add("p" + std::to_string(i), "desk");
  const request_id sound = Ask("/pay/sound");
  const attempt_id sound_attempt = last().call.attempt;
  Head(200);
  for (int i = 0; i < 299; ++i) {
    Ask("/pay/" + std::to_string(i));
    Head(200);
  }
  ASSERT_EQ(upstreams.sent.size(), 300u);
  EXPECT_LE(FloodTogether(1), 65 * kMegabyte);
  served.OnAttemptBytes({sound_attempt, std::string(100'000, 'y')});
  served.OnAttemptFinished({sound_attempt});
  EXPECT_EQ(CallerOf(sound).status, 200);
  EXPECT_EQ(CallerOf(sound).body.size(), 100'000u);
}

TEST_F(EndlessBodiesTest, ManyStreamsWithoutEventBoundariesStayWithinTheBudget) {
  for (int i = 0; i < 5; ++i) Add("d" + std::to_string(i), "llm", engine_stage::kDecode);
  for (int i = 0; i < 200; ++i) {
    AskPrompt("/note/" + std::to_string(i), std::to_string(1000 + i), 100, 50);
    Head(200);
  }
  ASSERT_EQ(upstreams.sent.size(), 200u);
  EXPECT_LE(FloodTogether(), 65 * kMegabyte);
}

TEST_F(EndlessBodiesTest, AStreamWithoutEventBoundariesIsCutOff) {
  Add("d", "llm", engine_stage::kDecode);
  const request_id id = AskPrompt("/note/x", "aa", 100, 50);
  Head(200);
  EXPECT_LE(Flood(0, 8 * kMegabyte), 2 * kMegabyte);
  EXPECT_EQ(CallerOf(id).status, 502);
}

}  // namespace
}  // namespace hawthorndrum
