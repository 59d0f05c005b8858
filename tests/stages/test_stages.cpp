/// Tests of the stage plan and of the orders that carry it out.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "fake_object_store.h"
#include "gateway/daemon_directory.h"
#include "gateway/directory_peers.h"
#include "gateway/order_eligibility.h"
#include "gateway/stage_controller.h"
#include "gateway/stage_plan.h"
#include "gateway_fixture.h"
#include "scaling/fleet_outlook.h"
#include "systems/lease_system.h"

namespace hawthorndrum {
namespace {

std::vector<planned_engine> Engines(std::size_t count, std::size_t prefill_count) {
  std::vector<planned_engine> engines;
  for (std::size_t i = 0; i < count; ++i) {
    engines.push_back({upstream_id(i + 1),
                       i < prefill_count ? engine_stage::kPrefill : engine_stage::kDecode,
                       "dc" + std::to_string(i % 3), 0, false});
  }
  return engines;
}

/** Set here so that the tests do not depend on the default share. */
stage_plan_limits FiveSixths() {
  stage_plan_limits limits;
  limits.initial_prefill_share = 0.83;
  limits.max_prefill_share = 1;
  return limits;
}

TEST(StagePlan, KeepsSomeOfEachStage) {
  const stage_planner planner(FiveSixths());
  EXPECT_EQ(planner.Initial(18), 15u);
  EXPECT_EQ(planner.Initial(4), 2u);
  EXPECT_EQ(planner.Initial(2), 1u);
  EXPECT_EQ(planner.Initial(1), 0u);
}

TEST(StagePlan, NothingToDoOnceTheCountIsMet) {
  EXPECT_TRUE(PlanStages(Engines(18, 15), 15).empty());
}

TEST(StagePlan, SpreadsReadersOverTheDataCentres) {
  std::map<std::string, int> prefill_count;
  const auto engines = Engines(18, 0);
  for (const stage_change& change : PlanStages(engines, 15)) {
    EXPECT_EQ(change.stage, engine_stage::kPrefill);
    prefill_count[engines[change.engine.value() - 1].data_centre] += 1;
  }
  for (const auto& [data_centre, count] : prefill_count) EXPECT_EQ(count, 5) << data_centre;
}

RC_GTEST_PROP(StagePlanProperties, OnePlanMeetsTheCountAndNeverFlaps, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(1, 120);
  auto engines = Engines(count, *rc::gen::inRange<std::size_t>(0, count + 1));
  const auto wanted = *rc::gen::inRange<std::size_t>(0, count + 1);
  for (const stage_change& change : PlanStages(engines, wanted)) {
    engines[change.engine.value() - 1].stage = change.stage;
  }
  std::size_t prefill_count = 0;
  for (const auto& each : engines) prefill_count += each.stage == engine_stage::kPrefill;
  RC_ASSERT(prefill_count == wanted);
  RC_ASSERT(PrefillCount(engines) == wanted);
  RC_ASSERT(PlanStages(engines, wanted).empty());
}

class recording_engines : public engine_port {
 public:
  void Order(std::string_view, const engine_order& order, order_listener& who) override {
    orders.push_back(order);
    listener = &who;
  }
  void PollLoad(upstream_id, std::string_view) override {}
  std::vector<engine_order> orders;
  order_listener* listener = nullptr;
};

/** One daemon's lease and stage controller over a shared store. */
struct controller_daemon {
  controller_daemon(fake_object_store& store, int number, gateway& served, const clock& time,
                    random_source& random, metrics_registry& metrics, event_log& log)
      : client(store, number),
        directory("host" + std::to_string(number)),
        peers(directory, peer_id(number)),
        lease(client, peers, time, random, metrics, "fleet", incarnation_id(number), Timing()),
        controller(served, lease, engines, time, random, log, {}) {}

  static lease_timing Timing() {
    lease_timing timing;
    timing.length = seconds(4);
    timing.margin = milliseconds(500);
    timing.take_missing_at_once = true;
    return timing;
  }
  void Run(time_point now) {
    lease.Run(now);
    controller.Run(now);
  }

  fake_store_client client;
  recording_engines engines;
  daemon_directory directory;
  directory_peers peers;
  lease_system lease;
  stage_controller controller;
};

class StageKeeperTest : public GatewayFixtureTest {
 protected:
  StageKeeperTest()
      : first(store, 1, served, clock, random, metrics, log),
        second(store, 2, served, clock, random, metrics, log) {
    for (const char* id : {"a", "b", "c", "d", "e", "f"}) Add(id, "llm", engine_stage::kDecode);
  }
  void Tick(duration length, bool with_first, bool with_second) {
    for (duration passed{0}; passed < length; passed += milliseconds(50)) {
      clock.Advance(milliseconds(50));
      if (prefill_demand > 0) ReportDemand();
      if (with_first) first.Run(clock.Now());
      if (with_second) second.Run(clock.Now());
      store.RunAll();
    }
  }

  /** Makes another daemon report `prefill_demand` for the service. */
  void ReportDemand() {
    load_notice notice;
    notice.sender = incarnation_id(99);
    notice.sequence = ++demand_sequence;
    notice.data_centre = "north";
    notice.demand = {{"llm", prefill_demand, 0, 0}};
    served.OnNotice(notice);
    served.Run(clock.Now());
  }
  void SetStages(engine_stage stage) {
    for (const char* id : {"a", "b", "c", "d", "e", "f"})
      served.fleet().FindEntry(id)->entry.stage = stage;
  }
  std::size_t Ordered(const controller_daemon& by, engine_role role) {
    return static_cast<std::size_t>(
        std::count_if(by.engines.orders.begin(), by.engines.orders.end(),
                      [&](const engine_order& order) { return order.role == role; }));
  }

  fake_object_store store;
  controller_daemon first;
  controller_daemon second;
  /** Prompt tokens a second that the other daemon reports. */
  std::uint64_t prefill_demand = 0;
  std::uint64_t demand_sequence = 0;
};

/** Tokens a second that one engine prefills, before any speed was observed. */
constexpr std::uint64_t kEngineTokens = 40'000;

TEST_F(StageKeeperTest, OneDaemonOrdersAndNamesTheStartOfTheEngine) {
  Tick(seconds(3), true, true);
  EXPECT_EQ(first.engines.orders.size() + second.engines.orders.size(), 2u)
      << "a third of six idle engines at once";
  EXPECT_TRUE(first.engines.orders.empty() || second.engines.orders.empty());
  const auto& orders = first.engines.orders.empty() ? second.engines.orders : first.engines.orders;
  EXPECT_EQ(orders[0].engine_name.size(), 1u);
  EXPECT_EQ(orders[0].term, lease_term(1));
  EXPECT_LE(orders[0].send_by, clock.Now() + seconds(4));
}

TEST_F(StageKeeperTest, ChangesAreAnnouncedBeforeTheOrderLeaves) {
  // The engines of a new fleet count as listed after 1,500 ms without another one.
  Tick(milliseconds(1900), true, false);
  EXPECT_TRUE(first.engines.orders.empty());
  EXPECT_EQ(served.MakeNotice().avoided.size(), 2u);
  Tick(milliseconds(500), true, false);
  EXPECT_EQ(first.engines.orders.size(), 2u);
}

TEST_F(StageKeeperTest, NoOrdersWithoutTheLease) {
  store.RunAll();
  for (int i = 0; i < 100; ++i) {
    clock.Advance(milliseconds(100));
    first.Run(clock.Now());
  }
  EXPECT_TRUE(first.engines.orders.empty()) << "the store never answered";
}

TEST_F(StageKeeperTest, ASuccessorWaitsOutTheTurnOfTheHolderBefore) {
  prefill_demand = 3 * kEngineTokens;
  Tick(seconds(5), true, false);
  ASSERT_FALSE(first.engines.orders.empty());
  // The holder is paused; its lease expires and the other daemon acquires it.
  for (int i = 0; i < 400 && !second.lease.Holds(); ++i) Tick(milliseconds(50), false, true);
  ASSERT_TRUE(second.lease.Holds());
  Tick(stage_controller::kTakeoverPause - milliseconds(200), false, true);
  EXPECT_TRUE(second.engines.orders.empty());
  Tick(seconds(3), false, true);
  ASSERT_FALSE(second.engines.orders.empty());
  EXPECT_LT(first.engines.orders[0].term, second.engines.orders[0].term);
}

TEST_F(StageKeeperTest, AHolderThatWakesAfterItsLeaseOrdersNothing) {
  Tick(seconds(3), true, false);
  const std::size_t before = first.engines.orders.size();
  clock.Advance(seconds(30));
  first.Run(clock.Now());
  EXPECT_EQ(first.engines.orders.size(), before);
}

TEST_F(StageKeeperTest, AHolderThatReachesNoEngineLeavesTheLeaseToOthers) {
  Tick(seconds(3), true, true);
  ASSERT_TRUE(first.lease.Holds());
  order_eligibility eligibility(served, first.lease);
  const auto pass = [&](duration time) {
    for (duration passed{0}; passed < time; passed += milliseconds(50)) {
      for (const upstream_id id : std::exchange(upstreams.probes, {}))
        served.OnProbeEnded({id, false});
      served.Run(clock.Now());
      eligibility.Run(clock.Now());
      Tick(milliseconds(50), true, true);
    }
  };
  AskPrompt("/tell/x", "aa", 100, 50);
  pass(seconds(1));
  ASSERT_TRUE(served.is_cut_off());
  EXPECT_TRUE(first.lease.Holds()) << "a short cut is waited out";
  pass(seconds(2));
  EXPECT_FALSE(first.lease.Holds());
  EXPECT_TRUE(second.lease.Holds());
}

TEST_F(StageKeeperTest, EnginesThatAskedForTimeGetNoOrder) {
  prefill_demand = 3 * kEngineTokens;
  for (const char* id : {"a", "b", "c", "d"})
    served.fleet().FindEntry(id)->said.next_call = clock.Now() + seconds(20);
  Tick(seconds(5), true, false);
  ASSERT_FALSE(first.engines.orders.empty());
  for (const engine_order& order : first.engines.orders)
    EXPECT_FALSE(served.fleet().Find(order.engine)->said.next_call);
}

// Guards against too few prefill engines after a release, which replaces engines by new ones in
// their initial stage: changing those one at a time left the fleet short for most of such a day.
TEST_F(StageKeeperTest, IdleEnginesChangeTogetherWhileOthersAreBusy) {
  for (const char* id : {"a", "b", "c"}) served.fleet().FindEntry(id)->peers.running = 5;
  Tick(seconds(3), true, false);
  ASSERT_EQ(first.engines.orders.size(), 2u);
  for (const engine_order& order : first.engines.orders) {
    EXPECT_EQ(served.fleet().Find(order.engine)->peers.running, 0u);
  }
}

TEST_F(StageKeeperTest, AnEngineHasOneOpenOrder) {
  Tick(seconds(3), true, false);
  const std::size_t before = first.engines.orders.size();
  Tick(seconds(4), true, false);
  EXPECT_EQ(first.engines.orders.size(), before) << "the engines have not changed yet";
  for (const engine_order& order : first.engines.orders) {
    fleet_upstream* row = served.fleet().Find(order.engine);
    row->entry.stage = engine_stage::kPrefill;
  }
  Tick(seconds(2), true, false);
  EXPECT_GT(first.engines.orders.size(), before);
}

TEST_F(StageKeeperTest, EnginesFollowTheLoad) {
  SetStages(engine_stage::kPrefill);
  for (const char* id : {"a", "b"}) {
    served.fleet().FindEntry(id)->entry.stage = engine_stage::kDecode;
    served.fleet().FindEntry(id)->own.running = 90;
  }
  prefill_demand = kEngineTokens / 2;
  Tick(seconds(5), true, false);
  EXPECT_GT(Ordered(first, engine_role::kDecode), 0u);
  EXPECT_EQ(Ordered(first, engine_role::kPrefill), 0u);
}

// A daemon that takes over, as after a failure, knows no load yet; the engines are where its
// predecessor needed them.
TEST_F(StageKeeperTest, ASuccessorWithoutLoadLeavesTheStages) {
  Tick(milliseconds(500), true, false);
  first.lease.Stop();
  Tick(seconds(1), true, false);
  SetStages(engine_stage::kDecode);
  Tick(seconds(20), false, true);
  ASSERT_TRUE(second.lease.Holds());
  EXPECT_TRUE(second.engines.orders.empty());
}

// Guards against orders on a part of the host list: at the start entries appear one after another,
// and the first few had the wrong share of stages.
TEST_F(StageKeeperTest, ANewFleetIsPlannedOnceItsEnginesAreListed) {
  SetStages(engine_stage::kPrefill);
  for (int i = 0; i < 6; ++i) {
    Tick(seconds(1), true, false);
    Add("late" + std::to_string(i), "llm", engine_stage::kDecode);
  }
  EXPECT_TRUE(first.engines.orders.empty());
  Tick(seconds(3), true, false);
  EXPECT_EQ(Ordered(first, engine_role::kDecode), 0u) << "8 of 12 are wanted, 6 prefill";
  EXPECT_EQ(Ordered(first, engine_role::kPrefill), 2u);
}

TEST_F(StageKeeperTest, BusyEnginesLeaveOneAtATimeWhereTheRestCannotCarryTheLoad) {
  for (const char* id : {"a", "b", "c", "d", "e", "f"})
    served.fleet().FindEntry(id)->own.running = 60;
  prefill_demand = 4 * kEngineTokens;
  Tick(seconds(5), true, false);
  EXPECT_EQ(first.engines.orders.size(), 1u);
}

/** Two upstreams of six that can't be reclaimed stay, and four reclaimable ones. */
class exchanged_fleet : public fleet_outlook {
 public:
  bool IsChanging(std::string_view, time_point) const override { return changes; }
  planned_fleet Planned(std::string_view) const override { return {2, 4}; }
  bool changes = true;
};

// Guards against stages that are wrong when the traffic begins: the changes waited for the whole
// exchange, and half of the engines changed in the first two seconds of load.
TEST_F(StageKeeperTest, WhileANewFleetIsExchangedOnlyThoseThatStayChange) {
  exchanged_fleet outlook;
  first.controller.SetOutlook(&outlook);
  Tick(seconds(3), true, false);
  EXPECT_TRUE(first.engines.orders.empty()) << "no engine is known to stay";
  for (const char* id : {"s1", "s2", "s3", "s4"}) {
    Add(id, "llm", engine_stage::kDecode);
    served.fleet().FindEntry(id)->entry.reclaimable = true;
  }
  Tick(seconds(2), true, false);
  ASSERT_FALSE(first.engines.orders.empty());
  for (const engine_order& order : first.engines.orders) {
    fleet_upstream* row = served.fleet().Find(order.engine);
    EXPECT_TRUE(row->entry.reclaimable);
    row->entry.stage = engine_stage::kPrefill;
  }
  const std::size_t during = first.engines.orders.size();
  // The exchange ends: the plan for the fleet that is left needs no further change.
  for (const char* id : {"a", "b", "c", "d"}) served.fleet().FindEntry(id)->entry.leaving = true;
  outlook.changes = false;
  Tick(seconds(4), true, false);
  EXPECT_EQ(first.engines.orders.size(), during);
}

// The same beside load: the plan works with the engines that are there.
TEST_F(StageKeeperTest, UnderLoadAnExchangeHoldsNothingUp) {
  exchanged_fleet outlook;
  first.controller.SetOutlook(&outlook);
  prefill_demand = 3 * kEngineTokens;
  Tick(seconds(5), true, false);
  EXPECT_GT(Ordered(first, engine_role::kPrefill), 0u);
}

}  // namespace
}  // namespace hawthorndrum
