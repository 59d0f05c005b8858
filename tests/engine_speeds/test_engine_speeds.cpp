/// Tests of the estimates of engines' prefill speed.
#include <gtest/gtest.h>

#include <string>

#include "gateway/engine_speeds.h"
#include "gateway/fleet_upstream.h"

namespace hawthorndrum {
namespace {

class EngineSpeedsTest : public testing::Test {
 protected:
  static fleet_upstream Engine(const std::string& id, engine_stage stage) {
    fleet_upstream row;
    row.id = upstream_id(std::hash<std::string>()(id));
    row.entry.id = id;
    row.entry.service = "llm";
    row.entry.stage = stage;
    row.entry.slots = 16;
    return row;
  }
  /** Observes a prompt that found the engine idle. */
  void Observe(fleet_upstream& row, std::uint64_t tokens, double tokens_per_ms,
               double overhead_ms) {
    const double taken_ms = static_cast<double>(tokens) / tokens_per_ms + overhead_ms;
    speeds.Observe(row, {tokens, 0, tokens, tokens},
                   duration(static_cast<std::int64_t>(taken_ms * 1000)), now);
  }

  engine_speeds speeds;
  fleet_upstream prefill = Engine("p", engine_stage::kPrefill);
  fleet_upstream decode = Engine("d", engine_stage::kDecode);
  time_point now{seconds(100)};
};

TEST_F(EngineSpeedsTest, LearnsTheSpeedAndTheOverhead) {
  for (int i = 0; i < 60; ++i) {
    Observe(prefill, 200, 110, 34);
    Observe(prefill, 16'000, 110, 34);
  }
  EXPECT_NEAR(speeds.PrefillTokensPerMs("llm"), 110, 15);
  EXPECT_NEAR(speeds.OverheadMs("llm", engine_stage::kPrefill), 34, 5);
}

TEST_F(EngineSpeedsTest, DecodeEnginesPrefillAtHalfTheSpeed) {
  for (int i = 0; i < 60; ++i) Observe(prefill, 16'000, 110, 12);
  EXPECT_NEAR(speeds.TokensPerMs(decode, now), speeds.TokensPerMs(prefill, now) / 2, 0.1);
}

// Guards against estimates of ten times the speed: engines serve urgent prompts first, and a prompt
// that overtook a long queue counted as if the engine had worked the queue off.
TEST_F(EngineSpeedsTest, PromptsThatOvertakeTheQueueDoNotCount) {
  const double before = speeds.PrefillTokensPerMs("llm");
  for (int i = 0; i < 100; ++i)
    speeds.Observe(prefill, {3000, 60'000, 3000, 3000}, milliseconds(40), now);
  EXPECT_EQ(speeds.PrefillTokensPerMs("llm"), before);
}

// Guards against estimates that depend on what engines happen to hold: shared parts may have been
// evicted, or sent there by another daemon.
TEST_F(EngineSpeedsTest, PromptsWithLargeSharedPartsDoNotCount) {
  const double before = speeds.PrefillTokensPerMs("llm");
  for (int i = 0; i < 100; ++i)
    speeds.Observe(prefill, {3000, 0, 3000, 16'000}, milliseconds(250), now);
  EXPECT_EQ(speeds.PrefillTokensPerMs("llm"), before);
}

TEST_F(EngineSpeedsTest, OneSlowEngineDoesNotChangeTheSpeedOfTheOthers) {
  for (int i = 0; i < 60; ++i) Observe(prefill, 16'000, 100, 12);
  fleet_upstream slow = Engine("s", engine_stage::kPrefill);
  for (int i = 0; i < 60; ++i) Observe(slow, 16'000, 15, 12);
  EXPECT_NEAR(speeds.TokensPerMs(prefill, now), 100, 15);
  EXPECT_LT(speeds.TokensPerMs(slow, now), 40);
}

TEST_F(EngineSpeedsTest, ASpeedFarBelowTheInitialEstimateIsLearned) {
  fleet_upstream other = Engine("q", engine_stage::kPrefill);
  for (int i = 0; i < 400; ++i) Observe(i % 2 == 0 ? prefill : other, 16'000, 8, 12);
  EXPECT_LT(speeds.PrefillTokensPerMs("llm"), 16);
}

TEST_F(EngineSpeedsTest, WaitingForASlotIsNoSlowness) {
  decode.own.running = 16;
  for (int i = 0; i < 20; ++i) speeds.Observe(decode, {300, 0, 300, 300}, seconds(2), now);
  EXPECT_EQ(engine_speeds::EffectiveSlowness(decode, now), 1);
}

TEST_F(EngineSpeedsTest, OthersReportsCountUntilThereAreOwnObservations) {
  speeds.SetReportedSpeed("llm", 90);
  EXPECT_EQ(speeds.PrefillTokensPerMs("llm"), 90);
  for (int i = 0; i < 60; ++i) Observe(prefill, 16'000, 60, 12);
  speeds.SetReportedSpeed("llm", 90);
  EXPECT_NEAR(speeds.PrefillTokensPerMs("llm"), 60, 8);
}

TEST_F(EngineSpeedsTest, TheUsualIntervalOfEventsFollowsTheStreams) {
  EXPECT_EQ(speeds.EventInterval("llm"), duration(0));
  for (int i = 0; i < 500; ++i) speeds.ObserveInterval("llm", milliseconds(80));
  EXPECT_NEAR(ToSeconds(speeds.EventInterval("llm")), 0.08, 0.005);
}

}  // namespace
}  // namespace hawthorndrum
