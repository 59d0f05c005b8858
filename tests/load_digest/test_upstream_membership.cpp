/// Tests the host list, leaving upstreams and drains, and that all daemons learn of them.
#include <gtest/gtest.h>

#include "fake_daemon_group.h"

namespace hawthorndrum {
namespace {

struct listing : testing::Test {
  void StartAll(std::size_t count, int engines) {
    for (std::size_t i = 0; i < count; ++i) group.Start(DaemonAddress(i));
    ASSERT_TRUE(group.AdvanceUntil([&] { return group.ViewsAgree(); }, seconds(20)));
    group.ListEngines(engines);
    group.Advance(seconds(4));
  }
  upstream& Row(std::size_t daemon, std::size_t host) {
    return *group.at(daemon).upstreams.Find(UpstreamIdOf(group.hosts[host].address));
  }
  bool AllLeave(std::size_t host, bool leaving = true) {
    for (std::size_t i = 0; i < group.size(); ++i) {
      if (group.running(i) && Row(i, host).leaving.any() != leaving) return false;
    }
    return true;
  }

  fake_daemon_group group;
};

TEST_F(listing, OneDaemonsSignStopsNewWorkEverywhereWithinTwoSeconds) {
  StartAll(8, 12);
  group.hosts[3].leaving = true;
  group.at(5).listing.OnHostList(group.hosts);
  EXPECT_TRUE(group.AdvanceUntil([&] { return AllLeave(3); }, seconds(2)));
  EXPECT_FALSE(AllLeave(4));
}

TEST_F(listing, EnginesOwnSignSpreads) {
  StartAll(5, 12);
  group.engines.reports[UpstreamIdOf(group.hosts[2].address)].state = engine_state::kDraining;
  EXPECT_TRUE(group.AdvanceUntil([&] { return AllLeave(2); }, seconds(4)));
}

TEST_F(listing, SignThatIsTakenBackIsTakenBackEverywhere) {
  StartAll(5, 12);
  group.hosts[3].leaving = true;
  group.at(1).listing.OnHostList(group.hosts);
  ASSERT_TRUE(group.AdvanceUntil([&] { return AllLeave(3); }, seconds(2)));
  group.hosts[3].leaving = false;
  group.at(1).listing.OnHostList(group.hosts);
  EXPECT_TRUE(group.AdvanceUntil([&] { return AllLeave(3, false); }, seconds(2)));
}

TEST_F(listing, DrainAndItsEndSpreadAndOutliveTheDaemonThatWasAsked) {
  StartAll(5, 12);
  ASSERT_TRUE(group.at(1).listing.Drain(group.hosts[6].address, true));
  ASSERT_TRUE(group.AdvanceUntil([&] { return AllLeave(6); }, seconds(2)));
  group.Kill(1);
  group.Advance(seconds(90));
  EXPECT_TRUE(AllLeave(6));
  fake_daemon& fresh = group.Start(DaemonAddress(7));
  fresh.listing.OnHostList(group.hosts);
  EXPECT_TRUE(group.AdvanceUntil([&] { return AllLeave(6) && group.ViewsAgree(); }, seconds(15)));
  ASSERT_TRUE(group.at(3).listing.Drain(group.hosts[6].address, false));
  EXPECT_TRUE(group.AdvanceUntil([&] { return AllLeave(6, false); }, seconds(2)));
}

TEST_F(listing, DrainAtBothSidesOfACutEndsTheSameEverywhere) {
  StartAll(4, 6);
  group.network.BlockBoth(DaemonAddress(3), DaemonAddress(0));
  group.network.BlockBoth(DaemonAddress(3), DaemonAddress(1));
  group.network.BlockBoth(DaemonAddress(3), DaemonAddress(2));
  group.Advance(seconds(15));
  ASSERT_TRUE(group.at(3).listing.Drain(group.hosts[1].address, true));
  ASSERT_TRUE(group.at(0).listing.Drain(group.hosts[1].address, true));
  ASSERT_TRUE(group.at(0).listing.Drain(group.hosts[1].address, false));
  group.Advance(seconds(5));
  for (std::size_t i = 0; i < 3; ++i) {
    group.network.BlockBoth(DaemonAddress(3), DaemonAddress(i), false);
  }
  EXPECT_TRUE(group.AdvanceUntil([&] { return AllLeave(1, false); }, seconds(40)));
}

TEST_F(listing, DrainOfAnUnknownUpstreamIsRefused) {
  StartAll(1, 2);
  const auto refused = group.at(0).listing.Drain("10.1.1.1:1", true);
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().code, error_code::kNotFound);
}

TEST_F(listing, RowStaysWhileARequestIsInFlight) {
  StartAll(2, 6);
  const upstream_id id = UpstreamIdOf(group.hosts[5].address);
  group.at(0).upstreams.Find(id)->own_in_flight = 1;
  group.hosts.pop_back();
  group.SendHostList();
  group.Advance(seconds(90));
  ASSERT_NE(group.at(0).upstreams.Find(id), nullptr);
  EXPECT_TRUE(group.at(0).upstreams.Find(id)->leaving.host_list);
  EXPECT_EQ(group.at(1).upstreams.Find(id), nullptr);
  group.at(0).upstreams.Find(id)->own_in_flight = 0;
  group.Advance(seconds(1));
  EXPECT_EQ(group.at(0).upstreams.Find(id), nullptr);
}

TEST_F(listing, ListThatLostMostIsNotBelievedAtOnce) {
  StartAll(2, 12);
  const std::vector<host_entry> whole = group.hosts;
  group.hosts.clear();
  group.SendHostList();
  group.Advance(seconds(5));
  for (const upstream& row : group.at(0).upstreams) EXPECT_FALSE(row.leaving.any());
  EXPECT_EQ(group.at(0).Count("hawthorndrum_host_lists_held_back_total"), 1u);
  group.Advance(upstream_membership::kLossAcceptedAfter);
  group.SendHostList();
  group.Advance(seconds(1));
  for (const upstream& row : group.at(0).upstreams) EXPECT_TRUE(row.leaving.host_list);
  group.hosts = whole;
  group.SendHostList();
  group.Advance(seconds(5));
  for (const upstream& row : group.at(0).upstreams) EXPECT_FALSE(row.leaving.any());
}

TEST_F(listing, OtherDataCentresHostsAreNotAdded) {
  StartAll(1, 2);
  host_entry other;
  other.address = "10.8.0.1:1";
  other.data_centre = "dc9";
  group.hosts.push_back(other);
  group.SendHostList();
  EXPECT_EQ(group.at(0).upstreams.size(), 2u);
}

}  // namespace
}  // namespace hawthorndrum
