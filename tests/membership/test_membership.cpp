/// Membership under single faults: which daemons are considered alive.
#include <gtest/gtest.h>

#include "fake_daemon_group.h"

namespace hawthorndrum {
namespace {

struct membership : testing::Test {
  void StartAll(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) group.Start(DaemonAddress(i));
    ASSERT_TRUE(group.AdvanceUntil([&] { return group.ViewsAgree(); }, seconds(20)));
  }
  peer_id Id(std::size_t index) { return PeerIdOf(DaemonAddress(index)); }

  fake_daemon_group group;
};

TEST_F(membership, AllLinkThroughOneSeed) {
  StartAll(20);
  for (std::size_t i = 0; i < 20; ++i) EXPECT_EQ(group.at(i).router.link_count(), 19u);
}

TEST_F(membership, KilledDaemonIsRemovedWithinTwoSeconds) {
  StartAll(6);
  group.Kill(3);
  EXPECT_TRUE(group.AdvanceUntil([&] { return group.ViewsAgree(); }, seconds(2)));
}

TEST_F(membership, FrozenDaemonIsRemovedWithinTwoSecondsAndReturns) {
  StartAll(6);
  group.Freeze(3);
  EXPECT_TRUE(group.AdvanceUntil([&] { return group.ViewsAgree(); }, seconds(2)));
  group.Advance(seconds(30));
  group.Freeze(3, false);
  group.Advance(milliseconds(50));
  EXPECT_EQ(group.at(3).Count("hawthorndrum_own_pauses_total"), 1u);
  EXPECT_EQ(group.at(3).Count("hawthorndrum_peer_suspicions_total"), 0u)
      << "its own pause does not count as silence of its peers";
  EXPECT_TRUE(group.AdvanceUntil([&] { return group.ViewsAgree(); }, seconds(20)));
}

TEST_F(membership, RestartAtTheSameAddressIsANewIncarnation) {
  StartAll(4);
  const incarnation_id before = group.at(2).router.identity().incarnation;
  group.Kill(2);
  fake_daemon& again = group.Start(DaemonAddress(2));
  ASSERT_TRUE(group.AdvanceUntil([&] { return group.ViewsAgree(); }, seconds(20)));
  const peer* row = group.at(0).membership.peers().Find(Id(2));
  ASSERT_NE(row, nullptr);
  EXPECT_EQ(row->identity.incarnation, again.router.identity().incarnation);
  EXPECT_NE(row->identity.incarnation, before);
  EXPECT_EQ(group.at(0).Count("hawthorndrum_peer_restarts_total"), 1u);
}

TEST_F(membership, AddressTakenByAnotherDataCentreIsNotInOwnDataCentre) {
  StartAll(4);
  group.Kill(2);
  group.Start(DaemonAddress(2), "dc2");
  group.Advance(seconds(20));
  EXPECT_TRUE(group.ViewsAgree());
  const peer* row = group.at(0).membership.peers().Find(Id(2));
  ASSERT_NE(row, nullptr);
  EXPECT_TRUE(row->state != peer_state::kAlive || row->identity.data_centre == "dc2");
}

TEST_F(membership, ReplacedIncarnationIsRefused) {
  StartAll(3);
  const daemon_identity old = group.at(2).router.identity();
  group.Kill(2);
  group.Start(DaemonAddress(2));
  ASSERT_TRUE(group.AdvanceUntil([&] { return group.ViewsAgree(); }, seconds(20)));
  EXPECT_FALSE(group.at(0).membership.OnPeerHello(old));
  EXPECT_EQ(group.at(0).Count("hawthorndrum_peer_incarnations_refused_total"), 1u);
}

TEST_F(membership, SecondDaemonAtAnAddressInUseIsRefused) {
  StartAll(3);
  daemon_identity other = group.at(2).router.identity();
  other.incarnation = incarnation_id(999);
  EXPECT_FALSE(group.at(0).membership.OnPeerHello(other));
  EXPECT_TRUE(group.at(0).Sees(Id(2)));
}

TEST_F(membership, OneWayCutIsCoveredByIndirectProbes) {
  StartAll(5);
  group.network.Block(DaemonAddress(1), DaemonAddress(2));
  group.Advance(seconds(5), [&] {
    EXPECT_TRUE(group.at(2).Sees(Id(1))) << "other daemons still receive its frames";
    EXPECT_TRUE(group.at(1).Sees(Id(2)));
  });
  EXPECT_GT(group.at(2).Count("hawthorndrum_peer_probes_total"), 0u);
  group.network.Block(DaemonAddress(1), DaemonAddress(2), false);
  EXPECT_TRUE(group.AdvanceUntil(
      [&] { return group.at(2).router.IsLinked(Id(1)) && group.ViewsAgree(); }, seconds(30)));
}

TEST_F(membership, DaemonThatCanOnlyReceiveIsSuspected) {
  StartAll(5);
  for (std::size_t i = 0; i < 5; ++i) {
    if (i != 1) group.network.Block(DaemonAddress(1), DaemonAddress(i));
  }
  group.Advance(seconds(3));
  for (std::size_t i = 0; i < 5; ++i) {
    if (i == 1) continue;
    EXPECT_FALSE(group.at(i).Sees(Id(1))) << i;
  }
}

TEST_F(membership, SlowLinkDoesNotMakeADaemonDead) {
  StartAll(4);
  const std::uint64_t before = group.at(0).Count("hawthorndrum_peer_deaths_total");
  group.network.set_latency_to(DaemonAddress(0), milliseconds(700));
  group.Advance(seconds(20));
  EXPECT_TRUE(group.ViewsAgree());
  EXPECT_EQ(group.at(0).Count("hawthorndrum_peer_deaths_total"), before);
}

TEST_F(membership, IsolatedDaemonKeepsDiallingAndRejoinsAfterTenMinutes) {
  StartAll(4);
  for (std::size_t i = 0; i < 3; ++i) group.network.BlockBoth(DaemonAddress(3), DaemonAddress(i));
  group.Advance(std::chrono::minutes(10));
  EXPECT_TRUE(group.at(3).router.Peers().empty());
  for (std::size_t i = 0; i < 3; ++i) {
    group.network.BlockBoth(DaemonAddress(3), DaemonAddress(i), false);
  }
  EXPECT_TRUE(group.AdvanceUntil([&] { return group.ViewsAgree(); }, seconds(30)));
}

TEST_F(membership, MalformedMessagesChangeNothing) {
  StartAll(3);
  const std::vector<std::vector<std::uint8_t>> bodies = {
      {}, {0x80}, {0xff}, {0x81, 0x20}, {0x82, 0x61, 0x61, 0x01}, {0xa1, 0x01, 0x02}};
  for (const peer_topic topic :
       {peer_topic::kHeartbeat, peer_topic::kProbeRequest, peer_topic::kProbeAnswer,
        peer_topic::kMembers, peer_topic::kHello}) {
    for (const auto& body : bodies) group.at(0).router.Send(Id(1), {topic, body});
  }
  group.Advance(seconds(5));
  EXPECT_TRUE(group.AdvanceUntil([&] { return group.ViewsAgree(); }, seconds(20)));
  EXPECT_GT(group.at(1).Count("hawthorndrum_peer_messages_malformed_total",
                              MetricLabel("part", "membership")),
            0u);
}

TEST_F(membership, HostListAloneIsEnoughToLinkButNotToBeAlive) {
  std::vector<host_entry> hosts;
  for (std::size_t i = 0; i < 4; ++i) {
    host_entry host;
    host.address = DaemonAddress(i);
    host.kind = host_kind::kDaemon;
    host.data_centre = "dc1";
    hosts.push_back(host);
  }
  fake_daemon_group listed_group;
  fake_daemon& first = listed_group.Start(DaemonAddress(0));
  first.membership.OnHostList(hosts);
  listed_group.Advance(seconds(10));
  EXPECT_TRUE(first.router.Peers().empty()) << "listed daemons that never authenticated";
  listed_group.Start(DaemonAddress(1));
  EXPECT_TRUE(listed_group.AdvanceUntil([&] { return listed_group.ViewsAgree(); }, seconds(30)));
}

}  // namespace
}  // namespace hawthorndrum
