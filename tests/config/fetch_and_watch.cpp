/// config_fetch and config_store_watch, call by call.
#include <gtest/gtest.h>

#include "fake_object_store.h"
#include "fake_random_source.h"
#include "systems/config_codec.h"
#include "systems/config_fetch.h"
#include "systems/config_message_codec.h"
#include "systems/config_store_watch.h"

namespace hawthorndrum {
namespace {

/** Records sent messages. */
class recording_peer_port : public peer_port {
 public:
  void Send(peer_id to, peer_message message) override { sent.push_back({to, std::move(message)}); }
  const std::vector<live_peer>& Peers() const override { return none_; }
  peer_id self() const override { return peer_id(1); }

  std::vector<std::pair<peer_id, peer_message>> sent;

 private:
  std::vector<live_peer> none_;
};

/** Accepts and records parts whose bytes match the digest. */
class recording_part_listener : public part_listener {
 public:
  bool OnPart(const content_digest& digest, const std::string& bytes) override {
    const bool intact = content_digest::Of(bytes) == digest;
    if (intact) accepted.push_back(bytes);
    return intact;
  }

  std::vector<std::string> accepted;
};

/** Fetches one part, with peers 2 and 3 as holders and an empty store. */
struct fetch_fixture {
  fetch_fixture() {
    fetch.Restart(false, now);
    fetch.AddHolder(peer_id(2));
    fetch.AddHolder(peer_id(3));
  }

  void RunAfterDelay(duration time) {
    now += time;
    fetch.Run(now, {wanted});
  }

  fake_object_store store;
  fake_store_client client{store, 0};
  recording_peer_port peers;
  fake_random_source random;
  metrics_registry metrics;
  recording_part_listener parts;
  config_fetch fetch{client, peers, random, metrics, parts};
  time_point now{seconds(100)};
  content_digest wanted = content_digest::Of("bytes");
};

TEST(ConfigFetch, ASilentPeerIsNotAskedAgainAndTheStoreIsTheLastResort) {
  fetch_fixture fixture;
  fixture.RunAfterDelay(duration(0));
  ASSERT_EQ(fixture.peers.sent.size(), 1U);
  fixture.RunAfterDelay(milliseconds(500));
  EXPECT_EQ(fixture.peers.sent.size(), 1U) << "asked again while the first request is in flight";
  fixture.RunAfterDelay(milliseconds(600));
  ASSERT_EQ(fixture.peers.sent.size(), 2U);
  EXPECT_NE(fixture.peers.sent[0].first, fixture.peers.sent[1].first);
  EXPECT_TRUE(fixture.store.waiting().empty());
  fixture.RunAfterDelay(milliseconds(1100));
  EXPECT_EQ(fixture.peers.sent.size(), 2U);
  ASSERT_EQ(fixture.store.waiting().size(), 1U);
  EXPECT_EQ(fixture.store.waiting()[0].call.key, PartKey(fixture.wanted));
}

TEST(ConfigFetch, APeerWithoutOrWithADamagedPartIsLeft) {
  fetch_fixture fixture;
  fixture.RunAfterDelay(duration(0));
  fixture.fetch.OnPeerPart(fixture.peers.sent[0].first, fixture.wanted, false, {});
  fixture.RunAfterDelay(milliseconds(1));
  ASSERT_EQ(fixture.peers.sent.size(), 2U);
  EXPECT_NE(fixture.peers.sent[0].first, fixture.peers.sent[1].first);
  fixture.fetch.OnPeerPart(fixture.peers.sent[1].first, fixture.wanted, true, "damaged");
  EXPECT_TRUE(fixture.parts.accepted.empty());
  fixture.RunAfterDelay(milliseconds(1));
  EXPECT_EQ(fixture.store.waiting().size(), 1U);
}

TEST(ConfigFetch, PartsFromOtherPeersAreIgnored) {
  fetch_fixture fixture;
  fixture.RunAfterDelay(duration(0));
  fixture.fetch.OnPeerPart(peer_id(9), fixture.wanted, true, "bytes");
  EXPECT_TRUE(fixture.parts.accepted.empty());
  fixture.fetch.OnPeerPart(fixture.peers.sent[0].first, fixture.wanted, true, "bytes");
  EXPECT_EQ(fixture.parts.accepted.size(), 1U);
  fixture.fetch.OnPeerPart(fixture.peers.sent[0].first, fixture.wanted, true, "bytes");
  EXPECT_EQ(fixture.parts.accepted.size(), 1U) << "accepted twice";
}

TEST(ConfigFetch, APartThatTheStoreLacksDelaysNoOther) {
  fetch_fixture fixture;
  fixture.fetch.Restart(true, fixture.now);
  const content_digest other = content_digest::Of("other");
  fixture.fetch.Run(fixture.now, {fixture.wanted, other});
  ASSERT_EQ(fixture.store.waiting().size(), 2U);
  fixture.store.RunAt(0);
  fixture.fetch.Run(fixture.now, {fixture.wanted, other, content_digest::Of("third")});
  EXPECT_EQ(fixture.store.waiting().size(), 2U)
      << "only the third is requested, not the missing part again";
}

/** Records the heads read from the store. */
class recording_head_listener : public store_head_listener {
 public:
  void OnStoreHead(const std::string& bytes) override { heads.push_back(bytes); }
  void OnStoreHeadMissing() override { missing += 1; }

  std::vector<std::string> heads;
  int missing = 0;
};

struct watch_fixture {
  watch_fixture() { watch.SetWatching(true); }

  /** Advances the time until the next call is submitted, and returns that call. */
  const store_call& Next() {
    now += seconds(10);
    watch.Run(now);
    return store.waiting().at(0).call;
  }

  /** Answers the open call. */
  void Answer(store_answer answer) {
    const store_call_id id = store.waiting().at(0).id;
    store.DropClient(0, false);
    watch.OnStoreAnswer(id, answer);
  }

  static store_answer Done(std::uint64_t version, const std::string& value = {}) {
    store_answer answer;
    answer.outcome = store_outcome::kDone;
    answer.version = object_version(version);
    answer.value = value;
    return answer;
  }

  fake_object_store store;
  fake_store_client client{store, 0};
  fake_random_source random;
  metrics_registry metrics;
  recording_head_listener heads;
  config_store_watch watch{client, random, metrics, heads};
  time_point now{seconds(100)};
};

TEST(ConfigStoreWatch, ReadsThenWatchesThenReads) {
  watch_fixture fixture;
  EXPECT_EQ(fixture.Next().operation, store_operation::kGet);
  fixture.Answer(watch_fixture::Done(5, "head"));
  EXPECT_EQ(fixture.heads.heads, std::vector<std::string>{"head"});
  EXPECT_EQ(fixture.Next().operation, store_operation::kWatch);
  EXPECT_EQ(fixture.store.waiting()[0].call.expected, object_version(5));
  fixture.Answer(watch_fixture::Done(9));
  EXPECT_EQ(fixture.Next().operation, store_operation::kGet);
  fixture.Answer(watch_fixture::Done(5, "head"));
  EXPECT_EQ(fixture.Next().expected, object_version(9));
}

TEST(ConfigStoreWatch, ListsWhenTheRevisionIsTooOld) {
  watch_fixture fixture;
  fixture.Next();
  fixture.Answer(watch_fixture::Done(5, "head"));
  EXPECT_EQ(fixture.Next().operation, store_operation::kWatch);
  store_answer stale;
  stale.outcome = store_outcome::kStale;
  fixture.Answer(stale);
  EXPECT_EQ(fixture.Next().operation, store_operation::kList);
  fixture.Answer(watch_fixture::Done(70));
  EXPECT_EQ(fixture.Next().operation, store_operation::kGet);
  fixture.Answer(watch_fixture::Done(5, "head"));
  EXPECT_EQ(fixture.Next().expected, object_version(70));
}

TEST(ConfigStoreWatch, WaitsAfterAFailure) {
  watch_fixture fixture;
  fixture.Next();
  fixture.Answer(store_answer{});
  EXPECT_FALSE(fixture.watch.answering());
  fixture.watch.Run(fixture.now);
  EXPECT_TRUE(fixture.store.waiting().empty());
  EXPECT_EQ(fixture.Next().operation, store_operation::kGet);
}

TEST(ConfigStoreWatch, ReadsOnceWhenNotWatching) {
  watch_fixture fixture;
  fixture.watch.SetWatching(false);
  fixture.Next();
  store_answer missing;
  missing.outcome = store_outcome::kMissing;
  fixture.Answer(missing);
  EXPECT_EQ(fixture.heads.missing, 1);
  fixture.now += seconds(60);
  fixture.watch.Run(fixture.now);
  EXPECT_TRUE(fixture.store.waiting().empty());
}

}  // namespace
}  // namespace hawthorndrum
