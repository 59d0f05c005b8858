/// Publishing: stored objects, dry runs, concurrent publishers, repeated runs, a damaged head.
#include <gtest/gtest.h>

#include "publish_driver.h"
#include "stored_configuration.h"

namespace hawthorndrum {
namespace {

std::vector<service_config> ManyServices(int count) {
  std::vector<service_config> services;
  services.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) services.push_back(MakeService("service-" + std::to_string(i)));
  return services;
}

TEST(Publishing, FirstGeneration) {
  fake_object_store store;
  const publish_result result =
      PublishNow(store, MakeRequest(7, "ann", {MakeService("a"), MakeService("b", 9)}));
  EXPECT_EQ(result.status, publish_status::kPublished);
  EXPECT_EQ(result.number, generation(1));
  const service_map services = StoredServices(store);
  ASSERT_EQ(services.size(), 2U);
  EXPECT_EQ(services.at("b").config.priority, 9);
  EXPECT_EQ(services.at("b").changed_by, "ann");
  EXPECT_EQ(StoredHead(store).published.publish_id, 7U);
}

TEST(Publishing, EveryFieldIsStoredAndRead) {
  fake_object_store store;
  service_config config = MakeService("payments");
  config.team = "hearthwell";
  config.kind = service_kind::kPlain;
  config.model = model_use();
  config.pool = "payments";
  config.repeatable = false;
  config.key_required = false;
  config.useful_within = milliseconds(1500);
  config.longest_deadline = seconds(90);
  config.limits = {1, 2.5, 3, 4, 5};
  config.lookup_path = "/lookup";
  config.spill = true;
  PublishNow(store, MakeRequest(7, "ann", {config}));
  const service_config stored = StoredServices(store).at("payments").config;
  EXPECT_TRUE(SameService(stored, config)) << EncodeService(stored);
}

TEST(Publishing, OneChangeWritesFewSmallObjects) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", ManyServices(5000)));
  const std::size_t objects = store.objects().size();
  const std::uint64_t calls = store.calls();
  const std::uint64_t writes = store.writes();
  const publish_result result =
      PublishNow(store, MakeRequest(8, "ann", {MakeService("service-17", 9)}));
  EXPECT_EQ(result.status, publish_status::kPublished);
  EXPECT_EQ(store.objects().size() - objects, 3U);  // leaf, page, history of generation 1
  EXPECT_EQ(store.writes() - writes, 4U);
  EXPECT_EQ(store.calls() - calls, 7U);
}

TEST(Publishing, NothingToChangeWritesNothing) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a")}));
  const std::uint64_t writes = store.writes();
  const publish_result result = PublishNow(store, MakeRequest(8, "ben", {MakeService("a")}));
  EXPECT_EQ(result.status, publish_status::kUnchanged);
  EXPECT_EQ(result.number, generation(1));
  EXPECT_EQ(store.writes(), writes);
}

TEST(Publishing, DryRunShowsTheDifferenceAndWritesNothing) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a"), MakeService("b")}));
  const std::uint64_t writes = store.writes();
  publish_request request = MakeRequest(8, "ben", {MakeService("a", 9), MakeService("c")});
  request.changes.push_back({"b", std::nullopt});
  request.dry_run = true;
  const publish_result result = PublishNow(store, request);
  EXPECT_EQ(result.status, publish_status::kPlanned);
  ASSERT_EQ(result.changes.size(), 3U);
  EXPECT_EQ(result.changes[0].lines, std::vector<std::string>{"priority: 5 -> 9"});
  EXPECT_EQ(result.changes[1].kind, change_kind::kAdded);
  EXPECT_EQ(result.changes[2].kind, change_kind::kRemoved);
  EXPECT_EQ(store.writes(), writes);
}

TEST(Publishing, RemovedServicesAreGoneAndMayComeBack) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a")}));
  publish_request removal = MakeRequest(8, "ben", {});
  removal.changes.push_back({"a", std::nullopt});
  EXPECT_EQ(PublishNow(store, removal).status, publish_status::kPublished);
  EXPECT_TRUE(StoredServices(store).empty());
  EXPECT_EQ(PublishNow(store, MakeRequest(9, "ann", {MakeService("a")})).number, generation(3));
  EXPECT_EQ(StoredServices(store).size(), 1U);
}

/** Runs `first` up to its head update, then all of `second`, then the rest of `first`. */
publish_result PublishBeforeHeadUpdate(fake_object_store& store, publish_request first,
                                       publish_request second) {
  publish_driver slow(store, 1, std::move(first));
  slow.Tick();
  while (true) {
    const int call = slow.WaitingCall();
    if (call < 0) {
      slow.Tick();
      continue;
    }
    const store_call& waiting = store.waiting()[static_cast<std::size_t>(call)].call;
    const bool head_write =
        waiting.key == kConfigHeadKey && waiting.operation != store_operation::kGet;
    if (head_write) break;
    store.RunAt(static_cast<std::size_t>(call));
  }
  EXPECT_EQ(PublishNow(store, std::move(second)).status, publish_status::kPublished);
  return slow.Finish();
}

TEST(Publishing, UnrelatedServicesBothWin) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", ManyServices(100)));
  const publish_result result =
      PublishBeforeHeadUpdate(store, MakeRequest(8, "ben", {MakeService("service-1", 9)}),
                              MakeRequest(9, "cat", {MakeService("service-2", 8)}));
  EXPECT_EQ(result.status, publish_status::kPublished);
  EXPECT_EQ(result.number, generation(3));
  const service_map services = StoredServices(store);
  EXPECT_EQ(services.size(), 100U);
  EXPECT_EQ(services.at("service-1").config.priority, 9);
  EXPECT_EQ(services.at("service-2").config.priority, 8);
}

TEST(Publishing, UnrelatedServicesOfOneLeafBothWin) {
  fake_object_store store;
  const std::vector<service_config> services = ManyServices(5000);
  PublishNow(store, MakeRequest(7, "ann", services));
  std::string other;
  for (const service_config& service : services) {
    if (service.name != "service-1" && LeafOf(service.name) == LeafOf("service-1")) {
      other = service.name;
    }
  }
  ASSERT_FALSE(other.empty());
  const publish_result result =
      PublishBeforeHeadUpdate(store, MakeRequest(8, "ben", {MakeService("service-1", 9)}),
                              MakeRequest(9, "cat", {MakeService(other, 8)}));
  EXPECT_EQ(result.status, publish_status::kPublished);
  EXPECT_EQ(StoredServices(store).at("service-1").config.priority, 9);
  EXPECT_EQ(StoredServices(store).at(other).config.priority, 8);
}

TEST(Publishing, SameServiceOneWinsAndTheOtherGetsAConflict) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", ManyServices(100)));
  publish_request winner = MakeRequest(9, "cat", {MakeService("service-1", 8)});
  winner.time = 1'800'000'123;
  const publish_result result = PublishBeforeHeadUpdate(
      store, MakeRequest(8, "ben", {MakeService("service-1", 9), MakeService("service-2", 9)}),
      winner);
  EXPECT_EQ(result.status, publish_status::kConflict);
  ASSERT_EQ(result.conflicts.size(), 1U);
  const publish_conflict& conflict = result.conflicts[0];
  EXPECT_EQ(conflict.service, "service-1");
  EXPECT_EQ(conflict.changed_by, "cat");
  EXPECT_EQ(conflict.changed_at, 1'800'000'123);
  EXPECT_EQ(conflict.changed_in, generation(2));
  EXPECT_EQ(conflict.lines, std::vector<std::string>{"priority: 8 -> 9"});
  EXPECT_EQ(StoredServices(store).at("service-1").config.priority, 8);
  EXPECT_EQ(StoredServices(store).at("service-2").config.priority, 5);
}

TEST(Publishing, RemovalByAnotherIsAConflictToo) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a")}));
  publish_request removal = MakeRequest(9, "cat", {});
  removal.changes.push_back({"a", std::nullopt});
  const publish_result result =
      PublishBeforeHeadUpdate(store, MakeRequest(8, "ben", {MakeService("a", 9)}), removal);
  EXPECT_EQ(result.status, publish_status::kConflict);
  ASSERT_EQ(result.conflicts.size(), 1U);
  EXPECT_TRUE(result.conflicts[0].removed);
  EXPECT_EQ(result.conflicts[0].changed_by, "cat");
}

TEST(Publishing, BothWantingTheSameIsNoConflict) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a")}));
  const publish_result result =
      PublishBeforeHeadUpdate(store, MakeRequest(8, "ben", {MakeService("a", 9)}),
                              MakeRequest(9, "cat", {MakeService("a", 9)}));
  EXPECT_EQ(result.status, publish_status::kUnchanged);
}

TEST(Publishing, AServiceChangedAfterTheBaseIsAConflict) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a"), MakeService("b")}));
  PublishNow(store, MakeRequest(8, "cat", {MakeService("a", 8)}));
  publish_request request = MakeRequest(9, "ben", {MakeService("a", 9)});
  request.base = generation(1);
  EXPECT_EQ(PublishNow(store, request).status, publish_status::kConflict);
  request.base = generation(2);
  EXPECT_EQ(PublishNow(store, request).status, publish_status::kPublished);
}

TEST(Publishing, FloorRaisesTheGeneration) {
  fake_object_store store;
  publish_request request = MakeRequest(7, "ann", {MakeService("a")});
  request.floor = generation(500);
  EXPECT_EQ(PublishNow(store, request).number, generation(500));
  EXPECT_EQ(PublishNow(store, MakeRequest(8, "ann", {MakeService("b")})).number, generation(501));
}

TEST(Publishing, SettlesAnEarlierRunByItsId) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a")}));
  for (std::uint64_t id = 8; id < 20; ++id) {
    PublishNow(store, MakeRequest(id, "cat", {MakeService("b", static_cast<int>(id % 2))}));
  }
  publish_request again = MakeRequest(9, "cat", {MakeService("b", 1)});
  again.settle = true;
  const publish_result result = PublishNow(store, again);
  EXPECT_EQ(result.status, publish_status::kPublished);
  EXPECT_EQ(result.number, generation(3));
  EXPECT_EQ(StoredHead(store).number, generation(13));
}

TEST(Publishing, ADamagedHeadIsReportedAndNothingIsWritten) {
  fake_object_store store;
  PublishNow(store, MakeRequest(7, "ann", {MakeService("a")}));
  store_call damage;
  damage.operation = store_operation::kUpdate;
  damage.key = std::string(kConfigHeadKey);
  damage.expected = store.objects().at(damage.key).version;
  damage.value = "{}";
  ASSERT_EQ(store.Apply(damage).outcome, store_outcome::kDone);
  const publish_result result = PublishNow(store, MakeRequest(8, "ann", {MakeService("b")}));
  EXPECT_EQ(result.status, publish_status::kRejected);
  EXPECT_EQ(StoredValue(store, damage.key), "{}");
}

}  // namespace
}  // namespace hawthorndrum
