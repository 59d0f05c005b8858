/// Tests of orders: journalling, draining, fencing and adoption.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "authority_bench_impl.h"

namespace hawthorndrum {
namespace {

constexpr duration kTakeover = seconds(40);

TEST(Orders, RoleChangeRunsToItsEnd) {
  authority_bench bench(3, {true, true});
  bench.Run(kTakeover);
  ASSERT_TRUE(bench.Propose(0, engine_role::kDecode));
  bench.Run(seconds(15));
  EXPECT_EQ(bench.engine(0).role, engine_role::kDecode);
  EXPECT_EQ(bench.engine(0).effects.size(), 1u);
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(bench.daemon(i).upstreams.Find(bench.engine(0).id())->TakesWork());
  }
  EXPECT_EQ(bench.Violations(), "");
}

TEST(Orders, WaitForRequestsOfEveryDaemon) {
  authority_bench bench(3, {true, true});
  bench.Run(kTakeover);
  for (int i = 0; i < 3; ++i) bench.BeginRequest(i, 0);
  ASSERT_TRUE(bench.Propose(0, engine_role::kDecode));
  bench.Run(seconds(20));
  EXPECT_TRUE(bench.engine(0).effects.empty());
  bench.EndRequests();
  bench.Run(seconds(15));
  EXPECT_EQ(bench.engine(0).effects.size(), 1u);
  EXPECT_EQ(bench.engine(0).cut_requests, 0u);
}

TEST(Orders, ADaemonThatDoesNotAnswerHoldsTheChangeUp) {
  authority_bench bench(3, {true, true});
  bench.Run(kTakeover);
  const int other = (bench.Holder() + 1) % 3;
  bench.CutPeers(other, true);
  ASSERT_TRUE(bench.Propose(0, engine_role::kDecode));
  bench.Run(seconds(30));
  EXPECT_TRUE(bench.engine(0).effects.empty());
  bench.Heal();
  bench.Run(seconds(30));
  EXPECT_EQ(bench.engine(0).effects.size(), 1u);
}

TEST(Orders, NextHolderFinishesAChangeOfAKilledOne) {
  authority_bench bench(3, {true, false});
  bench.Run(kTakeover);
  const int first = bench.Holder();
  ASSERT_TRUE(bench.Propose(0, engine_role::kDecode));
  ASSERT_TRUE(bench.Propose(1, engine_role::kPrefill));
  for (int i = 0; i < 400 && bench.engine(1).effects.empty(); ++i) bench.Step();
  bench.Kill(first);
  bench.Run(seconds(60));
  EXPECT_EQ(bench.engine(0).role, engine_role::kDecode);
  EXPECT_EQ(bench.engine(1).role, engine_role::kPrefill);
  EXPECT_EQ(bench.Violations(), "");
}

TEST(Orders, CrashOfTheEngineMidChangeIsRepeated) {
  authority_bench bench(2, {true, false});
  bench.Run(kTakeover);
  for (int i = 0; i < 2; ++i) {
    const engine_role wanted = i == 0 ? engine_role::kDecode : engine_role::kPrefill;
    ASSERT_TRUE(bench.Propose(i, wanted));
    for (int n = 0; n < 400 && bench.engine(i).effects.empty(); ++n) bench.Step();
    bench.engine(i).Crash();
    bench.Run(seconds(30));
    EXPECT_EQ(bench.engine(i).role, wanted);
  }
}

TEST(Orders, EngineWithoutFencingGetsNoOtherOrderWhileAnOldIssuerMayAct) {
  authority_bench bench(3, {false, true});
  bench.Run(kTakeover);
  const int first = bench.Holder();
  ASSERT_TRUE(bench.Propose(0, engine_role::kDecode));
  for (int n = 0; n < 400 && bench.engine(0).effects.empty(); ++n) bench.Step();
  bench.Pause(first, true);
  bench.Run(seconds(60));
  const int second = bench.Holder();
  ASSERT_GE(second, 0);
  ASSERT_NE(second, first);
  EXPECT_EQ(bench.engine(0).role, engine_role::kDecode);
  const expected<order_id> refused = bench.Propose(0, engine_role::kPrefill);
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().message, "an older order may still arrive at the engine");
  // The engine serves requests meanwhile.
  EXPECT_TRUE(bench.daemon(second).upstreams.Find(bench.engine(0).id())->TakesWork());
  bench.Pause(first, false);
  bench.Run(seconds(10));
  EXPECT_TRUE(bench.Propose(0, engine_role::kPrefill));
  bench.Run(seconds(20));
  EXPECT_EQ(bench.engine(0).role, engine_role::kPrefill);
  EXPECT_EQ(bench.Violations(), "");
}

TEST(Orders, OperatorReleasesAnEngine) {
  authority_bench bench(2, {false});
  bench.Run(kTakeover);
  const int first = bench.Holder();
  ASSERT_TRUE(bench.Propose(0, engine_role::kDecode));
  for (int n = 0; n < 400 && bench.engine(0).effects.empty(); ++n) bench.Step();
  bench.Pause(first, true);
  bench.Run(seconds(60));
  ASSERT_FALSE(bench.Propose(0, engine_role::kPrefill));
  order_system& orders = *bench.daemon(bench.Holder()).core.orders;
  const nlohmann::json arguments = {{"engine", bench.engine(0).address}};
  EXPECT_TRUE(orders.Act("release", arguments));
  EXPECT_TRUE(bench.Propose(0, engine_role::kPrefill));
}

TEST(Orders, LateCopyAtAnEngineWithoutFencingBlocksUntilItRestarts) {
  authority_bench bench(2, {false});
  bench.Run(kTakeover);
  bench.delay_orders = 1;
  ASSERT_TRUE(bench.Propose(0, engine_role::kDecode));
  // The first copy is 10 s late; the second one is sent after the first counts as lost.
  bench.Run(seconds(8));
  bench.delay_orders = 0;
  bench.Run(seconds(40));
  EXPECT_EQ(bench.engine(0).role, engine_role::kDecode);
  EXPECT_EQ(bench.engine(0).effects.size(), 1u);
  EXPECT_EQ(bench.Violations(), "");
}

TEST(Orders, RefusalTellsAnUnknownEngineFromOneThatHasNotReported) {
  authority_bench bench(1, {true});
  bench.Run(kTakeover);
  ASSERT_EQ(bench.Holder(), 0);
  order_request unknown;
  unknown.engine = upstream_id(1);
  EXPECT_EQ(bench.Propose(unknown).error().code, error_code::kNotFound);
  bench.daemon(0).upstreams.Find(bench.engine(0).id())->has_report = false;
  EXPECT_EQ(bench.Propose(0, engine_role::kDecode).error().code, error_code::kUnavailable);
}

TEST(Orders, JournalOfALargeDataCentreFitsAnObject) {
  // 4,700 engines in 21 data centres are 224 each; four times as many must still fit.
  constexpr std::size_t kEngines = 224;
  constexpr std::size_t kLargestObject = 1 << 20;
  order_journal journal;
  for (std::size_t i = 1; i <= kEngines; ++i) {
    journal_row& row = journal.rows[upstream_id(UINT64_MAX - i)];
    row.engine = upstream_id(UINT64_MAX - i);
    row.address = "10.100.100.100:65535";
    row.order.id = order_id(UINT64_MAX - i);
    row.order.term = FencingNumber(lease_term(1'000'000), i);
    row.order.model = std::string(40, 'm');
    row.order.version = std::string(20, 'v');
    row.order.adapter = std::string(40, 'a');
    row.issuers.push_back({incarnation_id(UINT64_MAX), peer_id(UINT64_MAX), true});
  }
  const std::string text = EncodeJournal(journal);
  std::printf("journal of %zu engines: %zu bytes\n", kEngines, text.size());
  EXPECT_LT(4 * text.size(), kLargestObject);
  const expected<order_journal> read = DecodeJournal(text);
  ASSERT_TRUE(read);
  EXPECT_EQ(EncodeJournal(*read), text);
}

TEST(Orders, AChangeCostsTwoWrites) {
  authority_bench bench(3, {true, true});
  bench.Run(kTakeover);
  const auto version = [&] { return bench.store.objects().at("journals/dc").version; };
  const bench_daemon& holder = bench.daemon(bench.Holder());
  const auto calls = [&] {
    return const_cast<bench_daemon&>(holder)
        .metrics.Counter("hawthorndrum_record_calls_total", MetricLabel("key", "journals/dc"))
        .value();
  };
  const object_version before = version();
  const std::uint64_t calls_before = calls();
  ASSERT_TRUE(bench.Propose(0, engine_role::kDecode));
  bench.Run(seconds(20));
  EXPECT_LT(before, version());
  EXPECT_EQ(calls() - calls_before, 2u);
}

}  // namespace
}  // namespace hawthorndrum
