/// Tests following the host list through outages of the store.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "gateway/object_reader.h"
#include "gateway/object_watch.h"
#include "gateway/upstream_directory.h"
#include "gateway_fixture.h"

namespace hawthorndrum {
namespace {

class recording_reader : public object_reader {
 public:
  void List(const std::string&, const std::string& after, std::uint64_t call) override {
    calls.push_back("list " + after);
    last = call;
  }
  void Watch(const std::string&, std::uint64_t revision, duration, std::uint64_t call) override {
    calls.push_back("watch " + std::to_string(revision));
    last = call;
  }
  std::vector<std::string> calls;
  std::uint64_t last = 0;
};

class DiscoveryTest : public GatewayFixtureTest {
 protected:
  DiscoveryTest()
      : directory(served, clock, log), watch("servers", reader, directory, random, log) {}

  static upstream_entry Entry(const std::string& id, bool leaving = false) {
    upstream_entry entry;
    entry.id = id;
    entry.service = "desk";
    entry.address = "10.0.0.9:80";
    entry.leaving = leaving;
    return entry;
  }
  bool TakesWork(const std::string& id) {
    const fleet_upstream* row = served.fleet().FindEntry(id);
    return row != nullptr && row->takes_work(clock.Now());
  }
  void Outage(duration length) {
    watch.OnCallFailed(reader.last, store_trouble::kNoAnswer, clock.Now());
    clock.Advance(length);
    watch.Run(clock.Now());
    watch.OnEvents(reader.last, 50, 50, clock.Now());
  }
  void ListOnce() {
    watch.Run(clock.Now());
    directory.Put(Entry("a"));
    watch.OnListPart(reader.last, {"", 10}, clock.Now());
  }

  recording_reader reader;
  upstream_directory directory;
  object_watch watch;
};

TEST_F(DiscoveryTest, ListsInPartsAndThenWatches) {
  watch.Run(clock.Now());
  watch.OnListPart(reader.last, {"m", 10}, clock.Now());
  watch.OnListPart(reader.last, {"", 12}, clock.Now());
  EXPECT_EQ(reader.calls, (std::vector<std::string>{"list ", "list m", "watch 10"}))
      << "changes during the list are in the history after its first part";
}

TEST_F(DiscoveryTest, APauseBetweenWatchesGathersChanges) {
  watch.SetPace(milliseconds(500), seconds(2));
  ListOnce();
  watch.OnEvents(reader.last, 11, 11, clock.Now());
  EXPECT_EQ(reader.calls.back(), "watch 10");
  clock.Advance(milliseconds(499));
  watch.Run(clock.Now());
  EXPECT_EQ(reader.calls.back(), "watch 10");
  clock.Advance(milliseconds(1));
  watch.Run(clock.Now());
  EXPECT_EQ(reader.calls.back(), "watch 11");
  watch.OnEvents(reader.last, 11, 0, clock.Now());
  EXPECT_EQ(reader.calls.size(), 4u) << "without changes there is no pause";
}

// Guards against a daemon that stays on an old configuration because the store has lost the state
// of its watch and never answers it with the change.
TEST_F(DiscoveryTest, AWatchThatMissedWhatOthersKnowIsListedAnew) {
  ListOnce();
  watch.OnNewerRevisionReported(clock.Now());
  EXPECT_EQ(reader.calls.back(), "watch 10") << "the answer may still arrive";
  clock.Advance(milliseconds(400));
  const std::uint64_t forgotten = reader.last;
  watch.OnNewerRevisionReported(clock.Now());
  EXPECT_EQ(reader.calls.back(), "list ");
  watch.OnEvents(forgotten, 99, 99, clock.Now());
  EXPECT_EQ(watch.revision(), 0u) << "the answer to the old call is ignored";
}

// Guards against a watch that goes on from a revision of the store's former era.
TEST_F(DiscoveryTest, AStoreThatComesBackFromAnOlderCopyIsListedAgain) {
  EXPECT_TRUE(watch.AcceptEra(reader.last, 3, clock.Now()));
  ListOnce();
  directory.Put(Entry("b"));
  EXPECT_TRUE(watch.AcceptEra(reader.last, 3, clock.Now()));
  watch.OnEvents(reader.last, 11, 11, clock.Now());
  EXPECT_FALSE(watch.AcceptEra(reader.last, 4, clock.Now()));
  EXPECT_EQ(reader.calls.back(), "list ");
  directory.OnListBegins();
  directory.Put(Entry("a"));
  EXPECT_TRUE(watch.AcceptEra(reader.last, 4, clock.Now()));
  watch.OnListPart(reader.last, {"", 9}, clock.Now());
  EXPECT_EQ(watch.revision(), 9u);
  EXPECT_TRUE(TakesWork("b")) << "it has yet to write its entry again";
}

// Guards against a first drill that goes unnoticed where the store counts its drills from 0.
TEST_F(DiscoveryTest, AnEraOfZeroIsTheOneBeforeTheFirst) {
  ListOnce();
  EXPECT_TRUE(watch.AcceptEra(reader.last, 0, clock.Now()));
  EXPECT_TRUE(watch.AcceptEra(reader.last, std::nullopt, clock.Now())) << "no era is named";
  EXPECT_FALSE(watch.AcceptEra(reader.last, 1, clock.Now()));
  EXPECT_EQ(reader.calls.back(), "list ");
}

TEST_F(DiscoveryTest, OnlyChangesOfTheKindAreNews) {
  watch.Run(clock.Now());
  watch.OnListPart(reader.last, {"", 40, 12}, clock.Now());
  EXPECT_EQ(watch.revision(), 40u);
  EXPECT_EQ(watch.last_change_revision(), 12u) << "the store's revision rises with other kinds too";
}

TEST_F(DiscoveryTest, AFailedWatchGoesOnFromItsRevision) {
  ListOnce();
  watch.OnCallFailed(reader.last, store_trouble::kNoAnswer, clock.Now());
  watch.Run(clock.Now());
  EXPECT_EQ(reader.calls.back(), "watch 10");
  EXPECT_EQ(reader.calls.size(), 2u) << "the retry waits for the backoff";
  clock.Advance(seconds(1));
  watch.Run(clock.Now());
  EXPECT_EQ(reader.calls.size(), 3u);
  EXPECT_EQ(reader.calls.back(), "watch 10");
}

// Guards against a daemon that learns of no change any more: the body of its watch cannot be read
// because of an object that is gone by now, and each further watch from that revision brings it.
TEST_F(DiscoveryTest, AnUnreadableWatchIsFollowedByAList) {
  ListOnce();
  watch.OnCallFailed(reader.last, store_trouble::kUnreadable, clock.Now());
  watch.Run(clock.Now());
  EXPECT_EQ(reader.calls.size(), 2u) << "the retry waits for the backoff";
  clock.Advance(seconds(1));
  watch.Run(clock.Now());
  EXPECT_EQ(reader.calls.back(), "list ");
  EXPECT_TRUE(TakesWork("a")) << "upstreams stay known while the list is read";
}

TEST_F(DiscoveryTest, ALostHistoryIsListedAnewAtOnce) {
  ListOnce();
  watch.OnCallFailed(reader.last, store_trouble::kHistoryGone, clock.Now());
  EXPECT_EQ(reader.calls.back(), "list ");
  EXPECT_TRUE(TakesWork("a")) << "upstreams stay known while the list is read";
  watch.OnListPart(reader.last, {"", 40}, clock.Now());
  EXPECT_FALSE(TakesWork("a")) << "it is missing from the new list";
}

TEST_F(DiscoveryTest, ADeletedEntryGetsNoWorkFromThenOn) {
  ListOnce();
  directory.Remove("a");
  EXPECT_FALSE(TakesWork("a"));
}

TEST_F(DiscoveryTest, EntriesThatLapsedInAnOutageKeepTheirWorkForAWhile) {
  ListOnce();
  Outage(seconds(5));
  directory.Remove("a");
  EXPECT_TRUE(TakesWork("a"));
  clock.Advance(upstream_directory::kExpiryGrace + milliseconds(1));
  EXPECT_FALSE(TakesWork("a"));
}

TEST_F(DiscoveryTest, AnEntryThatComesBackAfterAnOutageStaysInUse) {
  ListOnce();
  Outage(seconds(5));
  directory.Remove("a");
  clock.Advance(milliseconds(900));
  directory.Put(Entry("a"));
  clock.Advance(seconds(10));
  EXPECT_TRUE(TakesWork("a"));
}

TEST_F(DiscoveryTest, OneThatSaidItLeavesHasNoGrace) {
  ListOnce();
  directory.Put(Entry("a", true));
  Outage(seconds(5));
  directory.Remove("a");
  EXPECT_FALSE(TakesWork("a"));
}

TEST_F(DiscoveryTest, AnotherStartUnderTheSameNameIsAnotherUpstream) {
  ListOnce();
  const upstream_id before = served.fleet().FindEntry("a")->id;
  upstream_entry again = Entry("a");
  again.born = 5;
  directory.Put(again);
  EXPECT_NE(served.fleet().FindEntry("a")->id, before);
  served.fleet().Sweep(clock.Now());
  EXPECT_EQ(served.fleet().Find(before), nullptr);
}

TEST_F(DiscoveryTest, AnUnreadableEntryNamesNoUpstreamAndHarmsNoOther) {
  ListOnce();
  directory.Put(Entry("b"));
  directory.NoteUnreadable("a", "torn");
  EXPECT_FALSE(TakesWork("a"));
  EXPECT_TRUE(TakesWork("b"));
  EXPECT_NE(log.LastOf("upstream_entry_unreadable"), "");
}

TEST_F(DiscoveryTest, LostAndRegainedStoreIsLogged) {
  ListOnce();
  Outage(seconds(3));
  EXPECT_NE(log.LastOf("store_lost").find("\"trouble\":\"silent\""), std::string::npos);
  EXPECT_NE(log.LastOf("store_regained").find("\"after_ms\":3000"), std::string::npos);
}

}  // namespace
}  // namespace hawthorndrum
