/// Tests of the lease: at most one holder under any fault.
#include <gtest/gtest.h>

#include "authority_bench_impl.h"

namespace hawthorndrum {
namespace {

constexpr duration kTakeover = seconds(40);

TEST(Lease, OneDaemonTakesIt) {
  authority_bench bench(3, {});
  bench.Run(kTakeover);
  int holders = 0;
  EXPECT_GE(bench.Holder(&holders), 0);
  EXPECT_EQ(holders, 1);
}

TEST(Lease, PausedHolderIsReplacedAndKnowsItOnWaking) {
  authority_bench bench(3, {});
  bench.Run(kTakeover);
  const int first = bench.Holder();
  const lease_term term = bench.daemon(first).core.lease->term();
  bench.Pause(first, true);
  bench.Run(kTakeover);
  const int second = bench.Holder();
  ASSERT_GE(second, 0);
  EXPECT_NE(second, first);
  EXPECT_LT(term, bench.daemon(second).core.lease->term());
  bench.Pause(first, false);
  EXPECT_FALSE(bench.daemon(first).core.lease->Holds());
  bench.Run(seconds(5));
  EXPECT_EQ(bench.Holder(), second);
}

TEST(Lease, SuccessorWaitsAFullLengthOfUnchangedVersion) {
  authority_bench bench(2, {});
  bench.Run(kTakeover);
  const int first = bench.Holder();
  bench.CutStore(first, true);
  bench.CutPeers(first, true);
  for (duration done{0}; done < seconds(60); done += authority_bench::kStep) {
    bench.Step();
    ASSERT_EQ(bench.Violations(), "");
  }
  EXPECT_EQ(bench.Holder(), 1 - first);
}

TEST(Lease, LostAnswerOfTheTakingWriteIsReadBack) {
  authority_bench bench(1, {});
  bench.lose_store_answers = 3;
  bench.Run(kTakeover);
  EXPECT_EQ(bench.Holder(), 0);
  EXPECT_EQ(bench.daemon(0).core.lease->term(), lease_term(1));
}

TEST(Lease, LateRenewalDoesNotRestoreTheLease) {
  authority_bench bench(2, {});
  bench.Run(kTakeover);
  const int first = bench.Holder();
  bench.delay_store_writes = 1;
  bench.Step();
  bench.CutStore(first, true);
  for (duration done{0}; done < seconds(60); done += authority_bench::kStep) {
    bench.Step();
    ASSERT_EQ(bench.Violations(), "");
  }
  EXPECT_EQ(bench.Holder(), 1 - first);
}

TEST(Lease, ClocksAtDifferentSpeedsNeverGiveTwoHolders) {
  authority_bench bench(3, {});
  bench.daemon(0).rate = 0.96;
  bench.daemon(1).rate = 1.04;
  for (int round = 0; round < 6; ++round) {
    bench.Run(kTakeover);
    const int holder = bench.Holder();
    ASSERT_GE(holder, 0);
    bench.CutStore(holder, true);
    bench.CutPeers(holder, true);
    for (duration done{0}; done < kTakeover; done += authority_bench::kStep) {
      bench.Step();
      ASSERT_EQ(bench.Violations(), "");
    }
    bench.Heal();
  }
}

TEST(Lease, StopReleasesItAtOnce) {
  authority_bench bench(2, {});
  bench.Run(kTakeover);
  const int first = bench.Holder();
  bench.daemon(first).core.lease->Stop();
  bench.Run(seconds(12));
  EXPECT_EQ(bench.Holder(), 1 - first);
}

TEST(Lease, AHolderThatMayNotHoldItAnyMoreLeavesItToOthers) {
  authority_bench bench(2, {});
  bench.Run(kTakeover);
  const int first = bench.Holder();
  const lease_term term = bench.daemon(first).core.lease->term();
  bench.daemon(first).core.lease->SetEligible(false);
  bench.Run(seconds(12));
  EXPECT_FALSE(bench.daemon(first).core.lease->Holds());
  EXPECT_EQ(bench.Holder(), 1 - first);
  EXPECT_LT(term, bench.daemon(1 - first).core.lease->term());
  bench.daemon(first).core.lease->SetEligible(true);
  bench.Run(kTakeover);
  EXPECT_EQ(bench.Holder(), 1 - first);
  bench.daemon(1 - first).core.lease->SetEligible(false);
  bench.Run(kTakeover);
  EXPECT_EQ(bench.Holder(), first);
  EXPECT_EQ(bench.Violations(), "");
}

TEST(Lease, DaemonsThatReceiveNoticesDoNotPollTheStore) {
  authority_bench bench(20, {});
  bench.Run(seconds(60));
  std::map<int, std::uint64_t> before;
  const auto calls = [&](int daemon) {
    return bench.daemon(daemon)
        .metrics.Counter("hawthorndrum_record_calls_total", MetricLabel("key", "leases/dc"))
        .value();
  };
  for (int i = 0; i < 20; ++i) before[i] = calls(i);
  bench.Run(seconds(60));
  for (int i = 0; i < 20; ++i) {
    const std::uint64_t made = calls(i) - before[i];
    if (i == bench.Holder()) {
      EXPECT_LE(made, 30u);
    } else {
      EXPECT_EQ(made, 0u);
    }
  }
}

TEST(Lease, StoreOutageIsNotFollowedByABurstOfCalls) {
  authority_bench bench(20, {});
  bench.Run(seconds(60));
  bench.store_down = true;
  bench.Run(seconds(600));
  const auto calls = [&] {
    std::uint64_t sum = 0;
    for (int i = 0; i < 20; ++i) {
      sum +=
          bench.daemon(i)
              .metrics.Counter("hawthorndrum_record_calls_total", MetricLabel("key", "leases/dc"))
              .value();
    }
    return sum;
  };
  const std::uint64_t before = calls();
  bench.store_down = false;
  bench.Run(seconds(10));
  // Twenty daemons in ten seconds: fewer than two calls a second together.
  EXPECT_LE(calls() - before, 20u);
  bench.Run(kTakeover);
  EXPECT_GE(bench.Holder(), 0);
}

TEST(Lease, MalformedPeerMessagesAreCounted) {
  authority_bench bench(2, {});
  bench.Run(kTakeover);
  const int holder = bench.Holder();
  peer_message malformed;
  malformed.topic = peer_topic::kLeaseHolder;
  malformed.body = {0xff, 0x00, 0x13};
  bench.daemon(holder).core.OnPeerMessage(peer_id(5), malformed);
  EXPECT_EQ(bench.Holder(), holder);
  EXPECT_EQ(
      bench.daemon(holder)
          .metrics
          .Counter("hawthorndrum_bad_peer_messages_total", MetricLabel("topic", "lease_holder"))
          .value(),
      1u);
}

}  // namespace
}  // namespace hawthorndrum
