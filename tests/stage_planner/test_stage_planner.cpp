/// Tests of the split of engines between prefill and decode under steady, shifting and swinging
/// load.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "gateway/stage_planner.h"

namespace hawthorndrum {
namespace {

constexpr duration kPeriod = milliseconds(500);

/** A fleet that takes its planner's advice one engine at a time, four seconds an engine. */
struct planned_fleet {
  explicit planned_fleet(std::size_t engine_count, std::size_t prefill_count)
      : engines(engine_count), prefill(prefill_count), planner({}) {}

  void Run(duration length, const stage_load& load) {
    for (duration passed{0}; passed < length; passed += kPeriod) {
      planner.Observe(engines, load, kPeriod);
      now += kPeriod;
      if (!planner.HasObserved() || now < next_change) continue;
      const std::size_t wanted = planner.Wanted(engines, prefill);
      if (wanted == prefill) continue;
      prefill += wanted > prefill ? 1 : -1;
      changes += 1;
      next_change = now + seconds(4);
    }
  }

  std::size_t engines;
  std::size_t prefill;
  stage_planner planner;
  int changes = 0;
  duration now{0};
  duration next_change{0};
};

TEST(WaitingCost, IsLeastWhereBothStagesAreLoadedAlike) {
  const waiting_cost cost({4, 0}, {2, 0});
  const double alike = cost.PerSecond(12, 6);
  for (std::size_t prefill = 1; prefill < 18; ++prefill) {
    if (prefill != 12) EXPECT_GT(cost.PerSecond(prefill, 18 - prefill), alike) << prefill;
  }
}

TEST(WaitingCost, CountsTheTopOfASwing) {
  // Two engines carry the mean of 1.4, and not its upper half.
  const waiting_cost steady({0, 0}, {1.4, 0});
  const waiting_cost swinging({0, 0}, {1.4, 0.7});
  EXPECT_GT(swinging.PerSecond(0, 2), 4 * steady.PerSecond(0, 2));
  EXPECT_LT(swinging.PerSecond(0, 4), 2 * steady.PerSecond(0, 4));
}

TEST(WaitingCost, EveryEngineHelpsAnOverloadedStage) {
  const waiting_cost cost({30, 0}, {0, 0});
  for (std::size_t prefill = 0; prefill < 20; ++prefill)
    EXPECT_GT(cost.PerSecond(prefill, 0), cost.PerSecond(prefill + 1, 0));
}

TEST(StagePlanner, FindsTheSplitOfAMixOfLongPrompts) {
  planned_fleet fleet(18, 6);
  fleet.Run(seconds(60), {5, 1.1});
  EXPECT_GE(fleet.prefill, 13u);
  EXPECT_LE(fleet.prefill, 15u);
}

TEST(StagePlanner, FindsTheSplitOfAMixOfManyShortRequests) {
  planned_fleet fleet(45, 35);
  fleet.Run(seconds(120), {7, 20});
  EXPECT_GE(fleet.prefill, 10u);
  EXPECT_LE(fleet.prefill, 14u);
}

TEST(StagePlanner, FollowsALastingShift) {
  planned_fleet fleet(18, 14);
  fleet.Run(seconds(30), {5, 1.2});
  fleet.Run(seconds(40), {2, 6});
  EXPECT_LE(fleet.prefill, 6u);
}

// The mix swings within seconds; an engine that followed would be away for longer than a swing.
TEST(StagePlanner, HoldsStillUnderFastSwings) {
  planned_fleet fleet(18, 12);
  fleet.Run(seconds(20), {4, 2});
  const int settled = fleet.changes;
  for (int i = 0; i < 20; ++i) {
    fleet.Run(milliseconds(2800), {5.5, 1.2});
    fleet.Run(milliseconds(2800), {2.5, 2.8});
  }
  EXPECT_LE(fleet.changes - settled, 2);
}

TEST(StagePlanner, AShortBurstIsNoReasonForAChange) {
  planned_fleet fleet(18, 14);
  fleet.Run(seconds(30), {5, 1.2});
  const int settled = fleet.changes;
  fleet.Run(seconds(1), {1, 5});
  fleet.Run(seconds(10), {5, 1.2});
  EXPECT_LE(fleet.changes - settled, 1);
}

TEST(StagePlanner, WantsNothingBeforeItHasObservedSomeTime) {
  stage_planner planner({});
  planner.Observe(18, {10, 0}, milliseconds(500));
  EXPECT_FALSE(planner.HasObserved());
}

RC_GTEST_PROP(StagePlannerProperties, KeepsEnginesInBothStages, ()) {
  const auto engines = *rc::gen::inRange<std::size_t>(4, 60);
  std::size_t prefill = *rc::gen::inRange<std::size_t>(0, engines + 1);
  stage_planner planner({});
  const auto steps = *rc::gen::inRange(1, 40);
  for (int i = 0; i < steps; ++i) {
    const auto prefill_load = *rc::gen::inRange(0, 100);
    const auto decode_load = *rc::gen::inRange(0, 100);
    planner.Observe(engines, {static_cast<double>(prefill_load), static_cast<double>(decode_load)},
                    kPeriod);
    prefill = planner.Wanted(engines, prefill);
    RC_ASSERT(prefill >= 2u);
    RC_ASSERT(engines - prefill >= 2u);
    RC_ASSERT(planner.Wanted(engines, prefill) == prefill);
  }
}

}  // namespace
}  // namespace hawthorndrum
