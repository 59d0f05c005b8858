/// Tests that daemons know what one of them reads from the store.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fake_random_source.h"
#include "feed/change_feed.h"
#include "feed/feed_sender.h"
#include "feed/feed_target.h"
#include "gateway/daemon_directory.h"
#include "recording_log.h"

namespace hawthorndrum {
namespace {

/** The objects of one kind, and all changes to them. */
struct fake_store {
  std::uint64_t era = 0;
  std::uint64_t revision = 100;
  std::vector<object_change> history;
  std::vector<std::uint64_t> revisions;

  void Change(const std::string& name, std::optional<std::string> content) {
    ++revision;
    history.push_back({name, content ? revision : 0, std::move(content)});
    revisions.push_back(revision);
  }
  /** Comes back from a copy without the last changes, whose revisions are given out again. */
  void Restore(std::size_t lost) {
    history.resize(history.size() - lost);
    revisions.resize(history.size());
    revision -= lost;
    ++era;
  }
  std::map<std::string, std::string> Objects() const {
    std::map<std::string, std::string> objects;
    for (const object_change& each : history) {
      if (each.content) {
        objects[each.name] = *each.content;
      } else {
        objects.erase(each.name);
      }
    }
    return objects;
  }
};

class feed_fleet;

/** A daemon that polls the store unless it follows another one. */
class feed_daemon : public feed_sender, public feed_target {
 public:
  feed_daemon(feed_fleet& fleet, const std::string& name, event_log& log)
      : directory(name),
        feed(directory, *this, *this, log, name, "north", 3, seconds(3)),
        fleet_(fleet) {}

  void SendFeed(const std::string& address, const feed_message& message) override;
  std::uint64_t feed_revision() const override { return revision; }
  std::uint64_t feed_era() const override { return era; }
  void Apply(boost::span<const object_change> changes, std::uint64_t to, std::uint64_t) override {
    for (const object_change& each : changes) Put(each);
    revision = std::max(revision, to);
  }
  void Put(const object_change& change) {
    if (change.content) {
      objects[change.name] = *change.content;
    } else {
      objects.erase(change.name);
    }
  }
  void Run(fake_store& store, time_point now);

  daemon_directory directory;
  change_feed feed;
  std::map<std::string, std::string> objects;
  std::uint64_t revision = 100;
  std::uint64_t era = 0;
  int calls = 0;
  bool lives = true;
  bool reaches_store = true;

 private:
  feed_fleet& fleet_;
  time_point next_call_;
};

class feed_fleet {
 public:
  explicit feed_fleet(int daemons) {
    std::vector<daemon_record> records;
    for (int i = 0; i < daemons; ++i) {
      const std::string name = "host-" + std::to_string(100 + i);
      records.push_back({name, name, "north"});
      all[name] = std::make_unique<feed_daemon>(*this, name, log);
    }
    for (auto& [name, each] : all) each->directory.Replace(records);
  }

  void Pass(duration time) {
    for (duration left = time; left > duration(0); left -= milliseconds(50)) {
      now += milliseconds(50);
      auto arriving = std::move(in_flight);
      in_flight.clear();
      for (auto& [to, from, bytes] : arriving) {
        const auto decoded = DecodeFeedMessage(bytes);
        ASSERT_TRUE(decoded.has_value());
        if (all[to]->lives) all[to]->feed.OnMessage(*decoded, from, now);
      }
      for (auto& [name, each] : all) {
        if (each->lives) each->Run(store, now);
      }
    }
  }
  int Calls() const {
    int sum = 0;
    for (const auto& [name, each] : all) sum += each->calls;
    return sum;
  }
  /** Returns how many live daemons know the store's objects. */
  std::size_t UpToDate() const {
    return std::count_if(all.begin(), all.end(), [&](const auto& each) {
      return each.second->lives && each.second->objects == store.Objects();
    });
  }

  struct datagram {
    std::string to;
    std::string from;
    std::vector<std::uint8_t> bytes;
  };

  recording_log log;
  fake_store store;
  std::map<std::string, std::unique_ptr<feed_daemon>> all;
  std::vector<datagram> in_flight;
  fake_random_source random;
  double loss = 0;
  std::size_t bytes_sent = 0;
  time_point now{seconds(1000)};
};

void feed_daemon::SendFeed(const std::string& address, const feed_message& message) {
  if (!lives) return;
  std::vector<std::uint8_t> bytes = EncodeFeedMessage(message);
  fleet_.bytes_sent += bytes.size() + 28;
  if (fleet_.random.Fraction() < fleet_.loss) return;
  fleet_.in_flight.push_back({address, fleet_.all.begin()->first, std::move(bytes)});
  for (auto& [name, each] : fleet_.all) {
    if (each.get() == this) fleet_.in_flight.back().from = name;
  }
}

void feed_daemon::Run(fake_store& store, time_point now) {
  feed.Run(now);
  if (feed.Follows(now) || now < next_call_) return;
  next_call_ = now + milliseconds(800);
  ++calls;
  if (!reaches_store) return;
  if (store.era != era) {
    era = store.era;
    objects = store.Objects();
    revision = store.revision;
    return feed.OnListed(now);
  }
  std::vector<object_change> changes;
  for (std::size_t i = 0; i < store.history.size(); ++i) {
    if (store.revisions[i] > revision) changes.push_back(store.history[i]);
  }
  for (const object_change& each : changes) Put(each);
  feed.OnRead(revision, store.revision, store.revision, changes, now);
  revision = store.revision;
}

class FeedTest : public testing::Test {
 protected:
  FeedTest() : fleet(28) { fleet.Pass(seconds(3)); }
  void Change(int count) {
    for (int i = 0; i < count; ++i) {
      const bool removes = ++changed_ % 5 == 0;
      const std::string name = "upstream-" + std::to_string(changed_ * 7 % 40);
      fleet.store.Change(name, removes ? std::nullopt
                                       : std::optional<std::string>(std::string(250, 'x') +
                                                                    std::to_string(changed_)));
    }
  }
  feed_daemon& Daemon(int place) {
    auto it = fleet.all.begin();
    std::advance(it, place);
    return *it->second;
  }
  feed_fleet fleet;

 private:
  int changed_ = 0;
};

// Load: 28 daemons in a data centre, a change of the host list each 100 ms for a minute.
TEST_F(FeedTest, OneDaemonReadsForAll) {
  const int before = fleet.Calls();
  const std::size_t bytes_before = fleet.bytes_sent;
  for (int i = 0; i < 600; ++i) {
    Change(1);
    fleet.Pass(milliseconds(100));
  }
  EXPECT_LE(fleet.Calls() - before, 100) << "a call each 700 ms by one daemon, not by 28";
  EXPECT_LE((fleet.bytes_sent - bytes_before) / 60, 11264u * 28) << "of all daemons a second";
  fleet.Pass(seconds(1));
  EXPECT_EQ(fleet.UpToDate(), 28u);
}

// Guards against daemons that apply changes of a restored store to the list of its former era.
TEST_F(FeedTest, AStoreThatComesBackFromAnOlderCopyIsReadByEachDaemonFirst) {
  Change(20);
  fleet.Pass(seconds(1));
  fleet.store.Restore(10);
  for (int i = 0; i < 40; ++i) {
    Change(1);
    fleet.Pass(milliseconds(200));
  }
  fleet.Pass(seconds(2));
  EXPECT_EQ(fleet.UpToDate(), 28u);
}

// Load: changes while one message in five is lost.
TEST_F(FeedTest, LostMessagesAreMadeUp) {
  fleet.loss = 0.2;
  for (int i = 0; i < 50; ++i) {
    Change(1 + i % 30);
    fleet.Pass(milliseconds(300));
  }
  fleet.loss = 0;
  fleet.Pass(seconds(2));
  EXPECT_EQ(fleet.UpToDate(), 28u);
}

// Guards against daemons that go on for longer than leaving upstreams may get work (2 s at the
// least) when the reader is killed right after an upstream reported that it leaves.
TEST_F(FeedTest, AKilledReaderIsReplacedInTime) {
  Daemon(0).lives = false;
  Change(3);
  fleet.Pass(seconds(2));
  EXPECT_EQ(fleet.UpToDate(), 27u);
  const int before = fleet.Calls();
  fleet.Pass(seconds(3));
  EXPECT_LE(fleet.Calls() - before, 3 * 2 + 2) << "the next by name reads alone";
  Daemon(0).lives = true;
  fleet.Pass(seconds(7));
  Change(2);
  fleet.Pass(seconds(2));
  EXPECT_EQ(fleet.UpToDate(), 28u);
}

// Guards against a data centre that keeps an old list because the store turns its reader away.
TEST_F(FeedTest, AReaderThatTheStoreTurnsAwayIsReplacedAndFollows) {
  Daemon(0).reaches_store = false;
  Change(3);
  fleet.Pass(seconds(2));
  EXPECT_EQ(fleet.UpToDate(), 28u) << "the daemon that is turned away learns from the others";
}

// Guards against a data centre that believes a reader whose calls to the store are left without any
// answer, and one after the other of those who take its place.
TEST_F(FeedTest, ReadersWhomTheStoreLeavesWithoutAnswerKeepNobodyFromReading) {
  for (int i = 0; i < 8; ++i) Daemon(i).reaches_store = false;
  Change(3);
  // A leaving upstream must be known within 3 s, by all that reach the store.
  fleet.Pass(seconds(3));
  EXPECT_GE(fleet.UpToDate(), 20u);
  fleet.Pass(seconds(15));
  Change(2);
  fleet.Pass(seconds(3));
  EXPECT_GE(fleet.UpToDate(), 20u);
}

TEST_F(FeedTest, AChangeThatIsOlderThanWhatIsKnownIsPassedOver) {
  Change(1);
  feed_daemon& ahead = Daemon(5);
  fleet.store.Change("a", "old");
  fleet.store.Change("a", "new");
  fleet.store.Change("b", "there");
  for (const object_change& each : fleet.store.history) ahead.Put(each);
  ahead.revision = fleet.store.revision - 1;
  feed_message late;
  late.from = 100;
  late.to = fleet.store.revision;
  late.changes = {{"a", fleet.store.revision - 2, "old"}, {"b", fleet.store.revision, "there"}};
  ahead.feed.OnMessage(late, "host-100", fleet.now);
  EXPECT_EQ(ahead.objects["a"], "new");
  EXPECT_EQ(ahead.revision, fleet.store.revision);
}

TEST(FeedMessage, OtherVersionsAndKindsAreSkipped) {
  feed_message message;
  message.from = 3;
  message.to = 9;
  message.changes = {{"a", 4, "{}"}, {"b", 0, std::nullopt}};
  std::vector<std::uint8_t> bytes = EncodeFeedMessage(message);
  const auto read = DecodeFeedMessage(bytes);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->to, 9u);
  EXPECT_FALSE(read->changes[1].content.has_value());
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    EXPECT_FALSE(DecodeFeedMessage({bytes.data(), cut}).has_value());
  }
}

// The smallest data centres read for themselves as before.
TEST(FeedOfFew, BelowTheSettingEachDaemonReads) {
  feed_fleet fleet(2);
  fleet.Pass(seconds(7));
  EXPECT_GE(fleet.Calls(), 2 * 9);
}

}  // namespace
}  // namespace hawthorndrum
