/// Tests of planning in a daemon: from demand to orders, floors, loads, alternating demand.
#include <gtest/gtest.h>

#include "authority_bench_impl.h"
#include "systems/role_settings.h"

namespace hawthorndrum {
namespace {

constexpr duration kTakeover = seconds(40);

model_demand Demand(const char* model, double prefill_engines, double decode_engines) {
  const placement_prices rates;
  model_demand demand;
  demand.model.name = model;
  demand.model.version = "1";
  demand.prefill_tokens_per_second = prefill_engines * rates.prefill_rate;
  demand.decode_tokens_per_second = decode_engines * rates.decode_rate;
  return demand;
}

void SetDemand(authority_bench& bench, const std::vector<model_demand>& demand) {
  for (int i = 0; i < bench.daemon_count(); ++i) bench.daemon(i).demand.demand = demand;
}

int CountRole(authority_bench& bench, engine_role role) {
  int count = 0;
  for (int i = 0; i < bench.engine_count(); ++i) count += bench.engine(i).role == role ? 1 : 0;
  return count;
}

int CountOrders(authority_bench& bench, order_kind kind) {
  int count = 0;
  for (int i = 0; i < bench.engine_count(); ++i) {
    for (const auto& effect : bench.engine(i).effects) count += effect.order.kind == kind ? 1 : 0;
  }
  return count;
}

int CountReady(authority_bench& bench, const std::string& model) {
  int count = 0;
  for (int i = 0; i < bench.engine_count(); ++i) {
    const load_report report = bench.engine(i).Report();
    for (const loaded_model& loaded : report.models) {
      if (loaded.name == model && report.state == engine_state::kReady) ++count;
    }
  }
  return count;
}

TEST(RoleSystem, ShiftedDemandMovesIdleEnginesWithoutCuttingARequest) {
  authority_bench bench(3, std::vector<bool>(8, true));
  bench.Run(kTakeover);
  SetDemand(bench, {Demand("m", 5.5, 1.5)});
  for (int i = 0; i < 1200; ++i) {
    bench.BeginRequest(i % 3, (i * 5) % 8);
    if (i % 12 == 0) bench.EndRequests();
    bench.Step();
    ASSERT_EQ(bench.Violations(), "");
  }
  EXPECT_EQ(CountRole(bench, engine_role::kPrefill), 6);
  EXPECT_EQ(CountOrders(bench, order_kind::kSetRole), 2);
}

TEST(RoleSystem, BothRolesKeepAnEngine) {
  authority_bench bench(2, std::vector<bool>(4, true));
  bench.Run(kTakeover);
  SetDemand(bench, {Demand("m", 40, 0.01)});
  bench.Run(seconds(300));
  EXPECT_GE(CountRole(bench, engine_role::kDecode), 1);
}

TEST(RoleSystem, BusyEnginesShowThatTheyAreSlowerThanPreset) {
  authority_bench bench(2, std::vector<bool>(8, true));
  bench.Run(kTakeover);
  // At the preset rates two engines would suffice for prefill; these run at a quarter of them.
  const placement_prices rates;
  for (int i = 0; i < 8; ++i) {
    if (bench.engine(i).role != engine_role::kPrefill) continue;
    bench.engine(i).queued = 5;
    bench.engine(i).reported_rate = rates.prefill_rate / 4;
  }
  SetDemand(bench, {Demand("m", 1.5, 1.5)});
  bench.Run(seconds(400));
  EXPECT_EQ(CountRole(bench, engine_role::kPrefill), 6);
}

TEST(RoleSystem, AlternatingDemandChangesNothing) {
  authority_bench bench(2, std::vector<bool>(8, true));
  bench.Run(kTakeover);
  for (int round = 0; round < 100; ++round) {
    SetDemand(bench, {round % 2 == 0 ? Demand("m", 5, 3) : Demand("m", 3, 5)});
    bench.Run(seconds(6));
  }
  EXPECT_EQ(CountOrders(bench, order_kind::kSetRole), 0);
}

TEST(RoleSystem, NextHolderFinishesAChangeOfAKilledOneAndMakesNoOther) {
  authority_bench bench(3, std::vector<bool>(4, false));
  bench.Run(kTakeover);
  const std::vector<model_demand> shifted = {Demand("m", 2.9, 1)};
  SetDemand(bench, shifted);
  for (int i = 0; i < 2000 && CountOrders(bench, order_kind::kSetRole) == 0; ++i) bench.Step();
  const int first = bench.Holder();
  bench.Kill(first);
  SetDemand(bench, shifted);
  bench.Run(seconds(200));
  EXPECT_EQ(CountRole(bench, engine_role::kPrefill), 3);
  EXPECT_EQ(CountOrders(bench, order_kind::kSetRole), 1);
  EXPECT_EQ(bench.Violations(), "");
}

TEST(RoleSystem, NewModelIsBroughtToItsFloorOneLoadAtATime) {
  authority_bench bench(2, std::vector<bool>(6, true));
  bench.Run(kTakeover);
  model_demand wanted = Demand("new", 0, 0);
  wanted.floor = 3;
  model_demand old = Demand("m", 1, 1);
  old.floor = 4;
  SetDemand(bench, {old, wanted});
  int loads = 0;
  int steps_since_load = 1'000'000;
  const int pause = static_cast<int>(role_settings().load_pause / authority_bench::kStep);
  for (int i = 0; i < 2400; ++i) {
    bench.Step();
    ++steps_since_load;
    ASSERT_GE(CountReady(bench, "m"), 4);
    const int now = CountOrders(bench, order_kind::kLoadModel);
    if (now == loads) continue;
    // The drain of one may take a little longer than that of the next.
    EXPECT_GE(steps_since_load, pause / 2);
    EXPECT_EQ(now, loads + 1);
    loads = now;
    steps_since_load = 0;
  }
  EXPECT_EQ(CountReady(bench, "new"), 3);
  EXPECT_EQ(loads, 3);
}

TEST(RoleSystem, AlternatingDemandForTwoModelsDoesNotThrash) {
  authority_bench bench(2, std::vector<bool>(6, true));
  for (int i = 3; i < 6; ++i) bench.engine(i).models = {{"other", "1", {}}};
  bench.Run(kTakeover);
  for (int round = 0; round < 40; ++round) {
    const bool first = round % 2 == 0;
    SetDemand(bench, {Demand("m", first ? 2 : 0.5, first ? 2 : 0.5),
                      Demand("other", first ? 0.5 : 2, first ? 0.5 : 2)});
    bench.Run(seconds(30));
  }
  // At most, each engine loads the other model once; nothing is loaded twice.
  EXPECT_LE(CountOrders(bench, order_kind::kLoadModel), 6);
  EXPECT_EQ(CountOrders(bench, order_kind::kUnloadModel), 0);
}

TEST(RoleSystem, FailingLoadIsNotTriedAgainAtOnce) {
  authority_bench bench(2, {true, true});
  for (int i = 0; i < 2; ++i) bench.engine(i).fail_orders = true;
  bench.Run(kTakeover);
  SetDemand(bench, {Demand("m", 0.1, 0.1), Demand("new", 0, 0)});
  bench.Run(seconds(300));
  EXPECT_LE(CountOrders(bench, order_kind::kLoadModel), 2);
}

TEST(RoleSystem, AdapterIsLoadedWhereItsModelIs) {
  authority_bench bench(2, {true, true, true});
  bench.engine(0).models = {{"other", "1", {}}};
  bench.Run(kTakeover);
  model_demand tuned = Demand("m", 0.1, 0.1);
  tuned.model.adapter = "union";
  SetDemand(bench, {tuned, Demand("other", 0, 0)});
  bench.Run(seconds(25));
  EXPECT_EQ(CountOrders(bench, order_kind::kLoadAdapter), 1);
  EXPECT_TRUE(bench.engine(0).effects.empty());
}

}  // namespace
}  // namespace hawthorndrum
