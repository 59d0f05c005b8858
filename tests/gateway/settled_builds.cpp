/// Tests of the record that tells daemons which have just started what build a service has had.
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "fake_object_store.h"
#include "gateway/daemon_directory.h"
#include "gateway_fixture.h"
#include "resumes/build_record.h"

namespace hawthorndrum {
namespace {

/**
 * The load: all daemons are killed at once, start again together, and callers whose streams broke
 * off come back to them.
 */
class SettledBuildsTest : public GatewayFixtureTest {
 protected:
  SettledBuildsTest() : client(store, 0), daemons("a") { Start(); }

  void Start() {
    record = std::make_unique<build_record>(client, daemons, served.resumes(), random, log, "a");
    served.resumes().SetRecordPort(*record);
  }
  /** A daemon that starts has followed nothing yet. */
  void Restart() {
    served.SetFleetKnown();
    Start();
  }
  void List(const std::string& id, const std::string& version) {
    upstream_entry entry;
    entry.id = id;
    entry.service = "llm";
    entry.address = "10.0.0.1:" + std::to_string(++last_port);
    entry.data_centre = "north";
    entry.slots = 64;
    entry.software_version = version;
    served.fleet().Put(entry);
  }
  void Unlist(const std::string& id) { served.fleet().Remove(id, clock.Now()); }
  /** Lets time pass; the store answers, unless it is away. */
  void PassWithStore(duration time) {
    for (duration left = time; left > duration(0); left -= milliseconds(100)) {
      Pass(milliseconds(100));
      record->Run(clock.Now());
      if (store_answers) store.RunAll();
    }
  }
  /** Returns the status with which a caller without a remembered stream is refused; 0 if it runs.
   */
  int Resume() {
    const std::size_t sent = upstreams.sent.size();
    const request_id id = Ask("/tell/x", {{"X-Hawthorndrum-Model", "m"},
                                          {"X-Hawthorndrum-Token-Count", "150,100"},
                                          {"X-Hawthorndrum-Prompt-Prefix", "aa:100,bb:50"},
                                          {"Last-Event-Id", "1"},
                                          {"Resumes", "lost"}});
    served.OnOrigin(StreamKeyOf("lost"), std::nullopt);
    if (store_answers) {
      store.RunAll();
    } else if (!store.waiting().empty()) {
      store.FailAt(0, store_outcome::kRefused);
    }
    if (upstreams.sent.size() > sent) return 0;
    EXPECT_EQ(served.resumes().waiting(), 0u);
    return CallerOf(id).status;
  }

  static constexpr duration kLongEnough = single_build::kShortestWindow + seconds(1);

  fake_object_store store;
  fake_store_client client;
  daemon_directory daemons;
  std::unique_ptr<build_record> record;
  bool store_answers = true;
};

TEST_F(SettledBuildsTest, ADaemonThatHasJustStartedKnowsTheBuildOfMonths) {
  List("old0", "v1");
  PassWithStore(kLongEnough);
  Restart();
  EXPECT_EQ(Resume(), 0);
}

TEST_F(SettledBuildsTest, ABuildThatLeftBeforeTheKillIsNotForgotten) {
  List("old0", "v1");
  PassWithStore(kLongEnough);
  List("new0", "v2");
  PassWithStore(seconds(1));
  Unlist("old0");
  PassWithStore(seconds(1));
  Restart();
  EXPECT_EQ(Resume(), 503);
  PassWithStore(kLongEnough);
  Restart();
  EXPECT_EQ(Resume(), 0);
}

TEST_F(SettledBuildsTest, ABuildThatCameDuringTheKillIsNotJoinedWithTheOldOne) {
  List("old0", "v1");
  PassWithStore(kLongEnough);
  Unlist("old0");
  Pass(seconds(1));
  List("new0", "v2");
  Restart();
  EXPECT_EQ(Resume(), 503);
}

TEST_F(SettledBuildsTest, WithoutTheStoreNothingIsKnown) {
  List("old0", "v1");
  PassWithStore(kLongEnough);
  Restart();
  store_answers = false;
  EXPECT_EQ(Resume(), 503);
}

TEST_F(SettledBuildsTest, AnUnreadableRecordIsNotTrustedAndWrittenAgain) {
  store_call broken;
  broken.operation = store_operation::kCreate;
  broken.key = "builds/settled";
  broken.value = R"({"format":1,"era":0,"routes":"x")";
  store.Apply(broken);
  List("old0", "v1");
  EXPECT_EQ(Resume(), 503);
  EXPECT_FALSE(log.LastOf("builds_unreadable").empty());
  PassWithStore(kLongEnough);
  Restart();
  EXPECT_EQ(Resume(), 0);
}

TEST_F(SettledBuildsTest, TheCopyOfAnOlderStoreIsNotTrusted) {
  store.BeginEras();
  List("old0", "v1");
  PassWithStore(kLongEnough);
  store.Copy();
  List("new0", "v2");
  PassWithStore(seconds(1));
  store.Restore();
  Unlist("new0");
  PassWithStore(seconds(1));
  Restart();
  EXPECT_EQ(Resume(), 503);
}

TEST_F(SettledBuildsTest, ChangedRoutesAreNotTrusted) {
  List("old0", "v1");
  PassWithStore(kLongEnough);
  auto config = MakeConfig(2);
  config->routes[3].resumable = true;
  config->Index();
  Restart();
  served.SetConfig(config);
  EXPECT_EQ(Resume(), 503);
}

TEST_F(SettledBuildsTest, ADaemonThatWasFrozenForgetsWhatItFollowed) {
  List("old0", "v1");
  PassWithStore(kLongEnough);
  store_answers = false;
  clock.Advance(seconds(20));
  EXPECT_EQ(Resume(), 503);
}

TEST_F(SettledBuildsTest, CallsDoNotGrowWithTheNumberOfDaemons) {
  std::vector<daemon_record> fleet;
  fleet.reserve(40);
  for (int i = 0; i < 40; ++i) fleet.push_back({"d" + std::to_string(i), "10.0.0.1:1", "north"});
  std::vector<std::unique_ptr<daemon_directory>> lists;
  std::vector<std::unique_ptr<build_record>> records;
  for (const daemon_record& each : fleet) {
    lists.push_back(std::make_unique<daemon_directory>(each.name));
    lists.back()->Replace(fleet);
    records.push_back(std::make_unique<build_record>(client, *lists.back(), served.resumes(),
                                                     random, log, each.name));
  }
  const auto pass = [&](duration time) {
    for (duration left = time; left > duration(0); left -= milliseconds(100)) {
      Pass(milliseconds(100));
      for (const auto& each : records) each->Run(clock.Now());
      store.RunAll();
    }
  };
  List("old0", "v1");
  pass(kLongEnough);
  const std::uint64_t before = store.calls();
  List("new0", "v2");
  pass(seconds(10));
  Unlist("old0");
  pass(kLongEnough + seconds(10));
  // Each of two changes: one write, and a read by each further writer.
  EXPECT_LE(store.calls() - before, 2 * build_record::kWriters);
  EXPECT_EQ(store.writes(), 3u);
}

}  // namespace
}  // namespace hawthorndrum
