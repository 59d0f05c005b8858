/// Links between data centres, and network cuts between them.
#include <gtest/gtest.h>

#include "fake_daemon_group.h"
#include "systems/relay_choice.h"

namespace hawthorndrum {
namespace {

struct datacentres : testing::Test {
  void StartAll(std::size_t each, int centres) {
    for (std::size_t i = 0; i < each; ++i) {
      for (int k = 1; k <= centres; ++k) group.Start(DaemonAddress(i, k), Name(k));
    }
    ASSERT_TRUE(group.AdvanceUntil([&] { return group.ViewsAgree(); }, seconds(30)));
    group.Advance(seconds(45));
  }
  static std::string Name(int centre) { return "dc" + std::to_string(centre); }

  std::size_t RemoteLinks() {
    std::size_t count = 0;
    for (std::size_t i = 0; i < group.size(); ++i) {
      if (!group.running(i)) continue;
      for (const live_peer& peer : group.at(i).router.Peers()) {
        count += peer.linked && !peer.same_data_centre ? 1 : 0;
      }
    }
    return count / 2;
  }

  void Cut(int a, int b, std::size_t each, bool cut) {
    for (std::size_t i = 0; i < each; ++i) {
      for (std::size_t k = 0; k < each; ++k) {
        group.network.BlockBoth(DaemonAddress(i, a), DaemonAddress(k, b), cut);
      }
    }
  }

  fake_daemon_group group;
};

TEST_F(datacentres, AreLinkedByAFewRelays) {
  StartAll(5, 3);
  EXPECT_EQ(RemoteLinks(), 3 * kRelaysPerDataCentre);
}

TEST_F(datacentres, CutChangesNothingWithinEachAndLinksReturn) {
  StartAll(4, 2);
  Cut(1, 2, 4, true);
  group.Advance(std::chrono::minutes(3), [&] { ASSERT_TRUE(group.ViewsAgree()); });
  EXPECT_EQ(RemoteLinks(), 0u);
  Cut(1, 2, 4, false);
  EXPECT_TRUE(
      group.AdvanceUntil([&] { return RemoteLinks() >= kRelaysPerDataCentre; }, seconds(60)));
}

TEST_F(datacentres, KilledRelayIsReplaced) {
  StartAll(4, 2);
  std::size_t killed = group.size();
  for (std::size_t i = 0; i < group.size() && killed == group.size(); ++i) {
    for (const live_peer& peer : group.at(i).router.Peers()) {
      if (!peer.same_data_centre) killed = i;
    }
  }
  ASSERT_LT(killed, group.size());
  group.Kill(killed);
  group.Advance(seconds(3));
  EXPECT_TRUE(
      group.AdvanceUntil([&] { return RemoteLinks() >= kRelaysPerDataCentre; }, seconds(60)));
}

TEST(relays, BothSidesChooseTheSamePairs) {
  const std::vector<peer_id> a = {peer_id(1), peer_id(2), peer_id(3)};
  const std::vector<peer_id> b = {peer_id(11), peer_id(12), peer_id(13), peer_id(14)};
  const auto from_a = ChooseRelays("a", a, "b", b);
  const auto from_b = ChooseRelays("b", b, "a", a);
  ASSERT_EQ(from_a.size(), kRelaysPerDataCentre);
  ASSERT_EQ(from_b.size(), from_a.size());
  for (std::size_t i = 0; i < from_a.size(); ++i) {
    EXPECT_EQ(from_a[i].first, from_b[i].second);
    EXPECT_EQ(from_a[i].second, from_b[i].first);
  }
}

TEST(relays, SmallDataCentreHasFewer) {
  const std::vector<peer_id> one = {peer_id(1)};
  const std::vector<peer_id> more = {peer_id(2), peer_id(3)};
  EXPECT_EQ(ChooseRelays("a", one, "b", more).size(), 1u);
  EXPECT_TRUE(ChooseRelays("a", one, "b", {}).empty());
}

}  // namespace
}  // namespace hawthorndrum
