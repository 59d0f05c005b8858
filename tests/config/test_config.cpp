/// config_system in one daemon and in a fleet: spreading, refusing lower generations, starting
/// without the store.
#include <gtest/gtest.h>

#include <iostream>
#include <nlohmann/json.hpp>

#include "config_fleet.h"
#include "publish_driver.h"
#include "stored_configuration.h"
#include "systems/config_message_codec.h"

namespace hawthorndrum {
namespace {

constexpr int kStepsIn8Seconds = 80;
constexpr int kStepsToStart = 40;

std::uint64_t CounterOf(fleet_member& member, std::string_view name, std::string_view labels = {}) {
  return member.metrics.Counter(name, labels).value();
}

/** Overwrites the head in the store, as restoring a backup does. */
void PutHead(fake_object_store& store, const std::string& bytes) {
  store_call call;
  call.operation = store_operation::kUpdate;
  call.key = std::string(kConfigHeadKey);
  call.expected = store.objects().at(call.key).version;
  call.value = bytes;
  ASSERT_EQ(store.Apply(call).outcome, store_outcome::kDone);
}

TEST(Config, AloneWithNothingHasNoService) {
  fake_object_store store;
  config_fleet fleet(store, 1, 1);
  fleet.SetStoreReachable(false);
  fleet.Steps(200);
  EXPECT_EQ(fleet.config(0).current(), generation(0));
  EXPECT_EQ(fleet.config(0).Find("a"), nullptr);
}

TEST(Config, TakesTheStoresGenerationAtTheStart) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a", 3)}));
  config_fleet fleet(store, 1, 1);
  EXPECT_GE(fleet.StepsUntil(generation(1), kStepsToStart), 0);
  ASSERT_NE(fleet.config(0).Find("a"), nullptr);
  EXPECT_EQ(fleet.config(0).Find("a")->priority, 3);
  EXPECT_EQ(fleet.config(0).Find("b"), nullptr);
}

TEST(Config, SpreadsOverAllDataCentresWithin8Seconds) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a")}));
  config_fleet fleet(store, 3, 8);
  ASSERT_GE(fleet.StepsUntil(generation(1), kStepsIn8Seconds), 0);
  for (int round = 2; round < 12; ++round) {
    PublishNow(store, MakeRequest(100 + static_cast<std::uint64_t>(round), "ann",
                                  {MakeService("a", round % 10)}));
    const int steps =
        fleet.StepsUntil(generation(static_cast<std::uint64_t>(round)), kStepsIn8Seconds);
    ASSERT_GE(steps, 0) << "generation " << round;
  }
}

TEST(Config, SpreadsFromOneDataCentreThatReachesTheStore) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a")}));
  config_fleet fleet(store, 3, 8);
  ASSERT_GE(fleet.StepsUntil(generation(1), kStepsIn8Seconds), 0);
  for (int i = 8; i < fleet.size(); ++i) fleet.member(i).store_reachable = false;
  PublishNow(store, MakeRequest(8, "ann", {MakeService("a", 9)}));
  EXPECT_GE(fleet.StepsUntil(generation(2), kStepsIn8Seconds), 0);
}

TEST(Config, AWatchThatMissesTheChangeDelaysItBy8SecondsAtMost) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a")}));
  config_fleet fleet(store, 1, 3);
  ASSERT_GE(fleet.StepsUntil(generation(1), kStepsIn8Seconds), 0);
  fleet.watches_miss = true;
  PublishNow(store, MakeRequest(8, "ann", {MakeService("a", 9)}));
  EXPECT_GE(fleet.StepsUntil(generation(2), kStepsIn8Seconds), 0);
}

TEST(Config, OneChangeFetchesTwoPartsAndTouchesOneLeaf) {
  fake_object_store store;
  std::vector<service_config> services;
  services.reserve(3000);
  for (int i = 0; i < 3000; ++i) services.push_back(MakeService("s" + std::to_string(i)));
  PublishNow(store, MakeRequest(7, "ann", services));
  config_fleet fleet(store, 1, 1);
  ASSERT_GE(fleet.StepsUntil(generation(1), kStepsIn8Seconds), 0);
  const auto before = fleet.config(0).tree().leaves;
  const std::uint64_t parts =
      CounterOf(fleet.member(0), "hawthorndrum_config_parts_total", "from=\"store\"");
  PublishNow(store, MakeRequest(8, "ann", {MakeService("s5", 9)}));
  ASSERT_GE(fleet.StepsUntil(generation(2), kStepsIn8Seconds), 0);
  EXPECT_EQ(CounterOf(fleet.member(0), "hawthorndrum_config_parts_total", "from=\"store\"") - parts,
            2U);
  int touched = 0;
  for (std::size_t i = 0; i < kConfigLeaves; ++i) {
    if (fleet.config(0).tree().leaves[i] != before[i]) touched += 1;
  }
  EXPECT_EQ(touched, 1);
  EXPECT_EQ(fleet.config(0).Find("s5")->priority, 9);
  EXPECT_EQ(fleet.config(0).tree().CountServices(), 3000U);
}

TEST(Config, ARequestKeepsTheConfigurationThatItBeganWith) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a", 3)}));
  config_fleet fleet(store, 1, 1);
  ASSERT_GE(fleet.StepsUntil(generation(1), kStepsIn8Seconds), 0);
  const std::shared_ptr<const service_config> held = fleet.config(0).Find("a");
  publish_request removal = MakeRequest(8, "ann", {});
  removal.changes.push_back({"a", std::nullopt});
  PublishNow(store, removal);
  ASSERT_GE(fleet.StepsUntil(generation(2), kStepsIn8Seconds), 0);
  EXPECT_EQ(fleet.config(0).Find("a"), nullptr);
  EXPECT_EQ(held->priority, 3);
}

TEST(Config, RefusesALowerGenerationFromTheStore) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a", 3)}));
  const std::string old_head = StoredValue(store, std::string(kConfigHeadKey));
  PublishNow(store, MakeRequest(8, "ann", {MakeService("a", 4)}));
  config_fleet fleet(store, 1, 2);
  ASSERT_GE(fleet.StepsUntil(generation(2), kStepsIn8Seconds), 0);
  PutHead(store, old_head);
  fleet.Steps(100);
  EXPECT_TRUE(fleet.AllHave(generation(2)));
  EXPECT_EQ(fleet.config(0).Find("a")->priority, 4);
  EXPECT_GT(CounterOf(fleet.member(0), "hawthorndrum_config_lower_refused_total", "from=\"store\""),
            0U);
  // Publishing on top of the old copy yields the number in force with other content: refused too.
  PublishNow(store, MakeRequest(9, "ann", {MakeService("a", 5)}));
  fleet.Steps(100);
  EXPECT_EQ(fleet.config(0).Find("a")->priority, 4);
  EXPECT_GT(CounterOf(fleet.member(0), "hawthorndrum_config_conflicting_head_total"), 0U);
  // With a floor above that number the fleet takes the new generation.
  publish_request request = MakeRequest(10, "ann", {MakeService("a", 6)});
  request.floor = generation(3);
  PublishNow(store, request);
  EXPECT_GE(fleet.StepsUntil(generation(3), kStepsIn8Seconds), 0);
  EXPECT_EQ(fleet.config(0).Find("a")->priority, 6);
}

TEST(Config, RefusesALowerGenerationFromAPeer) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a", 3)}));
  const std::string old_head = StoredValue(store, std::string(kConfigHeadKey));
  PublishNow(store, MakeRequest(8, "ann", {MakeService("a", 4)}));
  config_fleet fleet(store, 1, 2);
  ASSERT_GE(fleet.StepsUntil(generation(2), kStepsIn8Seconds), 0);
  const config_announcement stale{generation(1), content_digest::Of(old_head), "x", "dc0"};
  fleet.Send({1, 0, EncodeMessage(stale)});
  fleet.Steps(30);
  EXPECT_TRUE(fleet.AllHave(generation(2)));
  EXPECT_EQ(CounterOf(fleet.member(0), "hawthorndrum_config_lower_refused_total", "from=\"peer\""),
            1U);
}

TEST(Config, APeerBehindIsAnsweredAtOnce) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a", 3)}));
  PublishNow(store, MakeRequest(8, "ann", {MakeService("a", 4)}));
  config_fleet fleet(store, 1, 2);
  ASSERT_GE(fleet.StepsUntil(generation(2), kStepsIn8Seconds), 0);
  fleet.messages().clear();
  const config_announcement behind{generation(1), content_digest::Of("old"), "x", "dc0"};
  fleet.config(0).OnPeerMessage(PeerIdOf(fleet_peers::AddressOf(1)), EncodeMessage(behind));
  ASSERT_EQ(fleet.messages().size(), 1U);
  const auto answer = DecodeAnnouncement(fleet.messages().front().message);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->number, generation(2));
  EXPECT_EQ(fleet.messages().front().to, 1);
}

TEST(Config, AStoreThatLostTheHeadChangesNothing) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a", 3)}));
  config_fleet fleet(store, 1, 2);
  ASSERT_GE(fleet.StepsUntil(generation(1), kStepsIn8Seconds), 0);
  store_call removal;
  removal.operation = store_operation::kRemove;
  removal.key = std::string(kConfigHeadKey);
  removal.expected = store.objects().at(removal.key).version;
  store.Apply(removal);
  fleet.Steps(100);
  EXPECT_TRUE(fleet.AllHave(generation(1)));
  EXPECT_NE(fleet.config(1).Find("a"), nullptr);
}

TEST(Config, AStartedDaemonTakesItFromAPeerWhileTheStoreIsDown) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a", 3)}));
  config_fleet fleet(store, 2, 3);
  ASSERT_GE(fleet.StepsUntil(generation(1), kStepsIn8Seconds), 0);
  fleet.SetStoreReachable(false);
  for (int i = 1; i < fleet.size(); ++i) {
    fleet.Restart(i);
    ASSERT_GE(fleet.StepsUntil(generation(1), kStepsIn8Seconds), 0) << "daemon " << i;
    EXPECT_EQ(fleet.config(i).Find("a")->priority, 3);
  }
}

TEST(Config, AStartedDaemonDoesNotTakeUpAnOldCopyBesideNewerPeers) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a", 3)}));
  const std::string old_head = StoredValue(store, std::string(kConfigHeadKey));
  PublishNow(store, MakeRequest(8, "ann", {MakeService("a", 4)}));
  config_fleet fleet(store, 1, 3);
  ASSERT_GE(fleet.StepsUntil(generation(2), kStepsIn8Seconds), 0);
  PutHead(store, old_head);
  fleet.Restart(2);
  for (int i = 0; i < kStepsIn8Seconds; ++i) {
    fleet.Step();
    const std::uint64_t now = fleet.config(2).current().value();
    EXPECT_TRUE(now == 0 || now == 2) << now;
  }
  EXPECT_EQ(fleet.config(2).current(), generation(2));
}

TEST(Config, StatusListsLaggingDaemons) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a")}));
  config_fleet fleet(store, 2, 3);
  ASSERT_GE(fleet.StepsUntil(generation(1), kStepsIn8Seconds), 0);
  fleet.Steps(120);
  EXPECT_EQ(fleet.config(0).LowestKnown(), generation(1));
  fleet.member(5).group = 1;
  fleet.member(5).store_reachable = false;
  PublishNow(store, MakeRequest(8, "ann", {MakeService("a", 9)}));
  fleet.Steps(kStepsIn8Seconds);
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(fleet.config(i).current(), generation(2));
    EXPECT_EQ(fleet.config(i).LowestKnown(), generation(1)) << "seen by " << i;
  }
  const auto report = fleet.config(0).Report("");
  ASSERT_TRUE(report);
  EXPECT_NE(report->dump().find(fleet_peers::AddressOf(5)), std::string::npos) << report->dump(2);
  EXPECT_EQ((*report)["lowest"], 1);
  fleet.member(5).group = 0;
  EXPECT_GE(fleet.StepsUntil(generation(2), kStepsIn8Seconds), 0);
  fleet.Steps(kStepsIn8Seconds);
  EXPECT_EQ(fleet.config(0).LowestKnown(), generation(2));
}

TEST(Config, ADecommissionedDataCentreExpires) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a")}));
  config_fleet fleet(store, 2, 2);
  ASSERT_GE(fleet.StepsUntil(generation(1), kStepsIn8Seconds), 0);
  fleet.Steps(kStepsIn8Seconds);
  fleet.Kill(2);
  fleet.Kill(3);
  PublishNow(store, MakeRequest(8, "ann", {MakeService("a", 9)}));
  ASSERT_GE(fleet.StepsUntil(generation(2), kStepsIn8Seconds), 0);
  fleet.time().Advance(std::chrono::minutes(50));
  fleet.Steps(kStepsIn8Seconds);
  EXPECT_EQ(fleet.config(0).LowestKnown(), generation(1)) << "it may only be partitioned";
  fleet.time().Advance(std::chrono::minutes(15));
  fleet.Steps(kStepsIn8Seconds);
  EXPECT_EQ(fleet.config(0).LowestKnown(), generation(2));
}

TEST(Config, ReportsOneService) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a", 3)}));
  config_fleet fleet(store, 1, 1);
  ASSERT_GE(fleet.StepsUntil(generation(1), kStepsIn8Seconds), 0);
  const auto report = fleet.config(0).Report("a");
  ASSERT_TRUE(report);
  EXPECT_EQ((*report)["service"]["priority"], 3);
  EXPECT_FALSE(fleet.config(0).Report("b"));
  EXPECT_TRUE(fleet.config(0).Act("reread", nlohmann::json::object()));
  EXPECT_FALSE(fleet.config(0).Act("rollback", nlohmann::json::object()));
}

TEST(Config, QuietFleetCostsFewBytesAndStoreCalls) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a")}));
  config_fleet fleet(store, 3, 20);
  ASSERT_GE(fleet.StepsUntil(generation(1), kStepsIn8Seconds), 0);
  fleet.Steps(100);
  std::uint64_t before = 0;
  for (int i = 0; i < fleet.size(); ++i) before += fleet.member(i).bytes_sent;
  const std::uint64_t calls = store.calls();
  constexpr int kQuietSeconds = 60;
  fleet.Steps(kQuietSeconds * 10);
  std::uint64_t bytes_per_second = 0;
  std::uint64_t after = 0;
  for (int i = 0; i < fleet.size(); ++i) after += fleet.member(i).bytes_sent;
  bytes_per_second = (after - before) / (static_cast<std::uint64_t>(fleet.size()) * kQuietSeconds);
  const double calls_a_second = static_cast<double>(store.calls() - calls) / kQuietSeconds;
  std::cout << "quiet: " << bytes_per_second << " bytes/s a daemon, " << calls_a_second / 3
            << " store calls/s a data centre\n";
  constexpr std::uint64_t kTenthOfTheBudget = 1100;
  EXPECT_LT(bytes_per_second, kTenthOfTheBudget);
  constexpr double kShareOfADataCentre = 2000.0 / 21 / 10;
  EXPECT_LT(calls_a_second / 3, kShareOfADataCentre);
}

}  // namespace
}  // namespace hawthorndrum
