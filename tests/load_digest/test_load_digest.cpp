/// Tests that one daemon polls each engine, that all daemons get its reports, and that ownership
/// recovers from faults.
#include <gtest/gtest.h>

#include "fake_daemon_group.h"

namespace hawthorndrum {
namespace {

constexpr int kEngines = 24;

struct loaddigest : testing::Test {
  void StartAll(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) group.Start(DaemonAddress(i));
    ASSERT_TRUE(group.AdvanceUntil([&] { return group.ViewsAgree(); }, seconds(20)));
    group.ListEngines(kEngines);
    ASSERT_TRUE(group.AdvanceUntil([&] { return AllReported(); }, seconds(10)));
    group.Advance(seconds(10));
  }

  bool AllReported() {
    for (std::size_t i = 0; i < group.size(); ++i) {
      if (!group.running(i)) continue;
      for (const upstream& row : group.at(i).upstreams) {
        if (!row.has_report) return false;
      }
    }
    return true;
  }

  std::size_t OwnersOf(upstream_id id) {
    std::size_t owners = 0;
    for (std::size_t i = 0; i < group.size(); ++i) {
      if (group.running(i) && !group.at(i).frozen && group.at(i).load.Owns(id)) ++owners;
    }
    return owners;
  }
  bool EachHasOneOwner() {
    for (const auto& [id, report] : group.engines.reports) {
      if (OwnersOf(id) != 1) return false;
    }
    return true;
  }

  /** Returns the age of the oldest report at any running daemon. */
  duration OldestReport() {
    duration oldest{0};
    for (std::size_t i = 0; i < group.size(); ++i) {
      if (!group.running(i) || group.at(i).frozen) continue;
      for (const upstream& row : group.at(i).upstreams) {
        oldest = std::max(oldest, group.time.Now() - row.report_time);
      }
    }
    return oldest;
  }

  void SetRunning(std::uint32_t running) {
    for (auto& [id, report] : group.engines.reports) report.running = running;
  }
  /** Whether every running daemon's rows show this number. */
  bool AllShow(std::uint32_t running) {
    for (std::size_t i = 0; i < group.size(); ++i) {
      if (!group.running(i) || group.at(i).frozen) continue;
      for (const upstream& row : group.at(i).upstreams) {
        if (row.report.running != running) return false;
      }
    }
    return true;
  }

  fake_daemon_group group;
};

TEST_F(loaddigest, EachEngineIsPolledByOneDaemonAndKnownToAll) {
  StartAll(6);
  EXPECT_TRUE(EachHasOneOwner());
  std::map<upstream_id, std::uint64_t> before = group.engines.polls;
  group.Advance(seconds(20));
  for (const auto& [id, polls] : group.engines.polls) {
    // An owner polls every 1 to 4 s, depending on how many engines it owns.
    EXPECT_GE(polls - before[id], 5u);
    EXPECT_LE(polls - before[id], 22u);
  }
  SetRunning(17);
  EXPECT_TRUE(group.AdvanceUntil([&] { return AllShow(17); }, seconds(4)));
  EXPECT_LE(OldestReport(), seconds(4));
}

TEST_F(loaddigest, SmallChangesAreNotSaidAndReportsStayFresh) {
  StartAll(4);
  SetRunning(100);
  ASSERT_TRUE(group.AdvanceUntil([&] { return AllShow(100); }, seconds(4)));
  const auto changes = [&] {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < 4; ++i) {
      sum += group.at(i).Count("hawthorndrum_load_entries_total", MetricLabel("kind", "change"));
    }
    return sum;
  };
  const std::uint64_t before = changes();
  SetRunning(104);
  group.Advance(seconds(10));
  EXPECT_EQ(changes(), before);
  EXPECT_LE(OldestReport(), seconds(4));
}

TEST_F(loaddigest, OwnershipMovesWithinTwoSecondsOfAKill) {
  StartAll(6);
  group.Kill(2);
  EXPECT_TRUE(group.AdvanceUntil([&] { return EachHasOneOwner(); }, seconds(2)));
  SetRunning(9);
  EXPECT_TRUE(group.AdvanceUntil([&] { return AllShow(9); }, seconds(5)));
}

TEST_F(loaddigest, OwnershipMovesWithinTwoSecondsOfAPause) {
  StartAll(6);
  group.Freeze(2);
  EXPECT_TRUE(group.AdvanceUntil([&] { return EachHasOneOwner(); }, seconds(2)));
  group.Advance(seconds(20), [&] { ASSERT_LE(OldestReport(), seconds(6)); });
  group.Freeze(2, false);
  EXPECT_TRUE(
      group.AdvanceUntil([&] { return group.ViewsAgree() && EachHasOneOwner(); }, seconds(20)));
}

TEST_F(loaddigest, JoiningDaemonTakesItsShareAndKnowsAllAtOnce) {
  StartAll(5);
  fake_daemon& fresh = group.Start(DaemonAddress(5));
  fresh.listing.OnHostList(group.hosts);
  ASSERT_TRUE(group.AdvanceUntil([&] { return AllReported(); }, seconds(10)));
  EXPECT_TRUE(group.AdvanceUntil([&] { return EachHasOneOwner(); }, seconds(10)));
  EXPECT_GT(fresh.load.owned_count(), 0u);
}

TEST_F(loaddigest, CutDaemonPollsAllForItself) {
  StartAll(5);
  for (std::size_t i = 0; i < 4; ++i) group.network.BlockBoth(DaemonAddress(4), DaemonAddress(i));
  group.Advance(seconds(10));
  EXPECT_EQ(group.at(4).load.owned_count(), static_cast<std::size_t>(kEngines));
  EXPECT_LE(OldestReport(), seconds(6));
  for (std::size_t i = 0; i < 4; ++i) {
    group.network.BlockBoth(DaemonAddress(4), DaemonAddress(i), false);
  }
  EXPECT_TRUE(group.AdvanceUntil([&] { return EachHasOneOwner(); }, seconds(40)));
}

TEST_F(loaddigest, OneWayCutIsFilledByStandIns) {
  StartAll(5);
  // Daemon 0 receives nothing from daemon 1. The others do, so daemon 1 remains the owner.
  group.network.Block(DaemonAddress(1), DaemonAddress(0));
  group.Advance(seconds(60), [&] { ASSERT_LE(OldestReport(), seconds(12)); });
}

TEST_F(loaddigest, OlderReportNeverReplacesANewerOne) {
  StartAll(2);
  upstream& row = *group.at(0).upstreams.begin();
  const time_point before = row.report_time;
  load_message late;
  late.snapshot = true;
  load_report old_report = row.report;
  old_report.running = 999;
  late.fulls.push_back({0, seconds(300), old_report});
  group.at(0).load.OnPeerMessage(group.at(1).router.self(), Encode(late));
  EXPECT_NE(row.report.running, 999u);
  EXPECT_EQ(row.report_time, before);
}

TEST_F(loaddigest, GapMakesTheReceiverAskAndBeWhole) {
  StartAll(3);
  load_message ahead;
  ahead.sequence = 1u << 20;
  group.at(0).load.OnPeerMessage(group.at(1).router.self(), Encode(ahead));
  EXPECT_EQ(group.at(0).Count("hawthorndrum_load_gaps_total"), 1u);
  SetRunning(31);
  EXPECT_TRUE(group.AdvanceUntil([&] { return AllShow(31); }, seconds(10)));
}

TEST_F(loaddigest, MalformedMessagesChangeNothing) {
  StartAll(2);
  load_message good;
  good.snapshot = true;
  good.fulls.push_back({0, milliseconds(1), group.at(1).upstreams.begin()->report});
  std::vector<std::uint8_t> bytes = Encode(good).body;
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    const std::vector<std::uint8_t> part(bytes.begin(),
                                         bytes.begin() + static_cast<std::ptrdiff_t>(cut));
    group.at(0).load.OnPeerMessage(group.at(1).router.self(), {peer_topic::kLoadDelta, part});
  }
  EXPECT_EQ(
      group.at(0).Count("hawthorndrum_peer_messages_malformed_total", MetricLabel("part", "load")),
      bytes.size());
  EXPECT_TRUE(AllReported());
}

TEST_F(loaddigest, EngineThatFailsKeepsItsLastReportWhichAges) {
  StartAll(3);
  const upstream_id broken = group.engines.reports.begin()->first;
  group.engines.down.insert(broken);
  group.Advance(seconds(20));
  for (std::size_t i = 0; i < 3; ++i) {
    const upstream* row = group.at(i).upstreams.Find(broken);
    ASSERT_NE(row, nullptr);
    EXPECT_TRUE(row->has_report);
    EXPECT_GE(group.time.Now() - row->report_time, seconds(18));
  }
}

}  // namespace
}  // namespace hawthorndrum
