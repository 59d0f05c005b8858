/// Tests of the daemons' memory of where streams began: lost daemons, cuts, lost messages, cost.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fake_clock.h"
#include "fake_random_source.h"
#include "gateway/daemon_directory.h"
#include "origins/origin_exchange.h"
#include "origins/origin_listener.h"
#include "origins/origin_sender.h"

namespace hawthorndrum {
namespace {

constexpr software_build kBuild(17);
constexpr software_build kOtherBuild(18);
/** Bytes of the UDP and IP headers of a datagram. */
constexpr std::size_t kDatagramHeader = 28;

/** A daemon whose datagrams are delivered by the test. */
struct simulated_daemon : origin_sender, origin_listener {
  simulated_daemon(const std::string& name, const std::string& data_centre)
      : name(name),
        data_centre(data_centre),
        directory(name),
        exchange(directory, *this, name, data_centre) {
    exchange.SetListener(*this);
  }

  void SendOrigins(const std::string& address, const origin_message& message) override {
    sent.emplace_back(address, EncodeOriginMessage(message));
  }
  void OnOrigin(stream_key key, std::optional<software_build> build) override {
    results[key] = build;
  }

  std::string name;
  std::string data_centre;
  daemon_directory directory;
  origin_exchange exchange;
  std::deque<std::pair<std::string, std::vector<std::uint8_t>>> sent;
  std::map<stream_key, std::optional<software_build>> results;
  bool alive = true;
};

class OriginsTest : public testing::Test {
 protected:
  void Build(int data_centres, int each) {
    std::vector<daemon_record> records;
    for (int dc = 0; dc < data_centres; ++dc) {
      for (int i = 0; i < each; ++i) {
        const std::string name = "dc" + std::to_string(dc) + "-" + std::to_string(i);
        records.push_back({name, name, "dc" + std::to_string(dc)});
        daemons.push_back(std::make_unique<simulated_daemon>(name, records.back().data_centre));
      }
    }
    for (auto& daemon : daemons) daemon->directory.Replace(records);
    all = records;
  }
  simulated_daemon& At(std::size_t index) { return *daemons[index]; }

  /** Delivers all datagrams on their way, and those sent in answer. */
  void Deliver() {
    for (bool any = true; any;) {
      any = false;
      for (auto& from : daemons) {
        while (!from->sent.empty()) {
          const auto [address, bytes] = std::move(from->sent.front());
          from->sent.pop_front();
          any = true;
          sent_bytes += bytes.size() + kDatagramHeader;
          if (from->alive) DeliverOne(*from, address, bytes);
        }
      }
    }
  }
  void DeliverOne(simulated_daemon& from, const std::string& address,
                  const std::vector<std::uint8_t>& bytes) {
    const auto message = DecodeOriginMessage(bytes);
    ASSERT_TRUE(message);
    for (auto& to : daemons) {
      if (to->name != address || !to->alive || IsCut(from, *to)) continue;
      if (loss > 0 && random.Fraction() < loss) continue;
      to->exchange.OnMessage(*message, from.name, time.Now());
    }
  }
  bool IsCut(const simulated_daemon& a, const simulated_daemon& b) const {
    return a.data_centre != b.data_centre &&
           (cut.count(a.data_centre) > 0 || cut.count(b.data_centre) > 0);
  }
  void Pass(duration length) {
    for (duration passed{0}; passed < length; passed += milliseconds(20)) {
      time.Advance(milliseconds(20));
      for (auto& daemon : daemons) {
        if (daemon->alive) daemon->exchange.Run(time.Now());
      }
      Deliver();
    }
  }
  void Begin(std::size_t at, stream_key key, software_build build = kBuild) {
    At(at).exchange.Record({key, build}, time.Now());
    Deliver();
  }
  /** Returns what a daemon that resumes the stream finds out. */
  std::optional<software_build> FindAt(std::size_t at, stream_key key) {
    if (const auto known = At(at).exchange.Find(key, time.Now())) return known;
    At(at).exchange.Ask(key, time.Now());
    Deliver();
    for (int i = 0; i < 14 && At(at).results.count(key) == 0; ++i) Pass(milliseconds(20));
    const auto found = At(at).results.find(key);
    EXPECT_TRUE(found != At(at).results.end()) << "the question did not end";
    return found == At(at).results.end() ? std::nullopt : found->second;
  }

  fake_clock time;
  fake_random_source random;
  std::vector<daemon_record> all;
  std::vector<std::unique_ptr<simulated_daemon>> daemons;
  std::set<std::string> cut;
  double loss = 0;
  /** Bytes of all datagrams, with their headers. */
  std::size_t sent_bytes = 0;
};

TEST_F(OriginsTest, AnyDaemonFindsAStreamsOriginWhenTheDaemonThatBeganItIsDead) {
  Build(3, 3);
  for (std::uint64_t key = 1; key <= 200; ++key) {
    const std::size_t began_at = key % 9;
    Begin(began_at, stream_key(key));
    At(began_at).alive = false;
    for (std::size_t at = 0; at < 9; ++at) {
      if (at == began_at) continue;
      EXPECT_EQ(FindAt(at, stream_key(key)), kBuild);
    }
    At(began_at).alive = true;
  }
}

TEST_F(OriginsTest, AStreamsOriginOutlivesItsDataCentre) {
  Build(3, 3);
  for (std::uint64_t key = 1; key <= 200; ++key) Begin(key % 3, stream_key(key));
  for (std::size_t at = 0; at < 3; ++at) At(at).alive = false;
  for (std::uint64_t key = 1; key <= 200; ++key)
    EXPECT_EQ(FindAt(3 + key % 6, stream_key(key)), kBuild) << key;
}

TEST_F(OriginsTest, ADataCentreThatIsCutOffFindsItsOwnStreams) {
  Build(3, 3);
  cut = {"dc1"};
  for (std::uint64_t key = 1; key <= 100; ++key) {
    Begin(3, stream_key(key));
    EXPECT_EQ(FindAt(4 + key % 2, stream_key(key)), kBuild);
  }
}

TEST_F(OriginsTest, DaemonsThatStopInTurnHandTheirStreamsOver) {
  Build(1, 3);
  for (std::uint64_t key = 1; key <= 500; ++key) Begin(key % 3, stream_key(key));
  for (std::size_t at = 0; at < 2; ++at) {
    At(at).exchange.HandOver();
    Pass(milliseconds(200));
    At(at).alive = false;
    for (auto& each : daemons) each->directory.Replace({all.begin() + at + 1, all.end()});
  }
  for (std::uint64_t key = 1; key <= 500; ++key)
    EXPECT_EQ(At(2).exchange.Find(stream_key(key), time.Now()), kBuild) << key;
}

TEST(DaemonDirectory, ADaemonThatWasListedStaysKnown) {
  daemon_directory directory("a");
  directory.Replace({{"a", "10.0.0.1:7380", "x"}, {"b", "10.0.0.2:7380", "x"}});
  EXPECT_TRUE(directory.IsKnownHost("10.0.0.2"));
  EXPECT_FALSE(directory.IsKnownHost("10.0.0.20"));
  EXPECT_FALSE(directory.IsKnownHost("10.0.0"));
  directory.Replace({{"a", "10.0.0.1:7380", "x"}});
  EXPECT_TRUE(directory.others().empty());
  EXPECT_TRUE(directory.IsKnownHost("10.0.0.2")) << "it may still serve, or start again";
  EXPECT_FALSE(directory.TakeRefreshRequest());
  directory.RequestRefresh();
  EXPECT_TRUE(directory.TakeRefreshRequest());
  EXPECT_FALSE(directory.TakeRefreshRequest());
}

TEST_F(OriginsTest, LostDatagramsAreMadeUpForByFurtherDaemonsAndASecondQuestion) {
  Build(2, 4);
  loss = 0.2;
  std::size_t found = 0;
  for (std::uint64_t key = 1; key <= 500; ++key) {
    Begin(key % 8, stream_key(key));
    if (FindAt((key + 3) % 8, stream_key(key)) == kBuild) ++found;
  }
  EXPECT_GE(found, 475u);
}

TEST_F(OriginsTest, AnUnknownStreamIsAnsweredAtOnceWhenAllDaemonsAnswer) {
  Build(3, 3);
  At(0).exchange.Ask(stream_key(5), time.Now());
  Deliver();
  ASSERT_EQ(At(0).results.count(stream_key(5)), 1u);
  EXPECT_EQ(At(0).results[stream_key(5)], std::nullopt);
}

TEST_F(OriginsTest, AQuestionEndsWhenNobodyAnswers) {
  Build(1, 4);
  for (std::size_t at = 1; at < 4; ++at) At(at).alive = false;
  EXPECT_EQ(FindAt(0, stream_key(5)), std::nullopt);
}

TEST_F(OriginsTest, ALoneDaemonAnswersItself) {
  Build(1, 1);
  EXPECT_EQ(FindAt(0, stream_key(5)), std::nullopt);
  Begin(0, stream_key(6));
  EXPECT_EQ(FindAt(0, stream_key(6)), kBuild);
}

TEST_F(OriginsTest, DaemonsWhoseListsOfTheFleetDifferFindEachOthersStreams) {
  Build(2, 5);
  std::vector<daemon_record> without_two = {all.begin(), all.end() - 2};
  for (std::size_t at = 0; at < 5; ++at) At(at).directory.Replace(without_two);
  for (std::uint64_t key = 1; key <= 300; ++key) {
    Begin(key % 5, stream_key(key));
    EXPECT_EQ(FindAt(5 + key % 5, stream_key(key)), kBuild) << key;
  }
}

TEST_F(OriginsTest, AStreamKeepsTheBuildThatBeganIt) {
  Build(1, 3);
  Begin(0, stream_key(7), kBuild);
  Begin(1, stream_key(7), kOtherBuild);
  EXPECT_EQ(FindAt(0, stream_key(7)), kBuild);
  EXPECT_EQ(FindAt(2, stream_key(7)), kBuild);
}

TEST_F(OriginsTest, OldStreamsAreForgottenAndTheTableIsBounded) {
  stream_origin_table table;
  table.Record({stream_key(1), kBuild}, time.Now());
  time.Advance(stream_origin_table::kLifetime / 2);
  EXPECT_EQ(table.Find(stream_key(1), time.Now()), kBuild);
  table.Record({stream_key(1), kBuild}, time.Now());
  time.Advance(stream_origin_table::kLifetime * 3 / 4);
  table.Record({stream_key(2), kBuild}, time.Now());
  EXPECT_EQ(table.Find(stream_key(1), time.Now()), kBuild) << "it was recorded again";
  time.Advance(stream_origin_table::kLifetime);
  EXPECT_EQ(table.Find(stream_key(1), time.Now()), std::nullopt);
  for (std::uint64_t key = 10; key < 10 + 2 * stream_origin_table::kMaxStreams; ++key)
    table.Record({stream_key(key), kBuild}, time.Now());
  EXPECT_LE(table.size(), stream_origin_table::kMaxStreams);
}

// The design size has 410 daemons and 8.3 requests a second and daemon; here each is a stream, and
// one in ten is resumed.
TEST_F(OriginsTest, TheFleetOfTheDesignSizeStaysInItsBudget) {
  constexpr int kDataCentres = 21;
  constexpr int kDaemonsEach = 20;
  constexpr int kStreamsEach = 10;
  constexpr double kStreamsPerSecond = 8.3;
  /** What a daemon may send and receive in a second for control. */
  constexpr double kBudgetBytes = 11 * 1024;
  Build(kDataCentres, kDaemonsEach);
  std::vector<stream_key> keys;
  for (std::size_t at = 0; at < daemons.size(); ++at) {
    for (int i = 0; i < kStreamsEach; ++i) {
      keys.push_back(stream_key(random.Draw()));
      Begin(at, keys.back());
    }
  }
  const double streams = static_cast<double>(keys.size());
  const double record_bytes = static_cast<double>(sent_bytes) / streams;
  sent_bytes = 0;
  for (std::size_t at = 0; at < daemons.size(); ++at) {
    const std::size_t neighbour = at % kDaemonsEach == 0 ? at + 1 : at - 1;
    EXPECT_EQ(FindAt(neighbour, keys[at * kStreamsEach]), kBuild);
  }
  const double question_bytes = static_cast<double>(sent_bytes) / streams;
  // Each datagram is sent by one daemon and received by another.
  const double bytes_per_second = 2 * kStreamsPerSecond * (record_bytes + question_bytes);
  std::printf("a stream: %.1f bytes of records, %.1f of questions; a daemon: %.0f bytes/s\n",
              record_bytes, question_bytes, bytes_per_second);
  EXPECT_LT(bytes_per_second, kBudgetBytes);
}

TEST(OriginMessages, AreReadAsWritten) {
  for (const auto kind : {origin_message_kind::kRecord, origin_message_kind::kQuestion,
                          origin_message_kind::kAnswer}) {
    origin_message message{kind, {{stream_key(1), software_build(2)}, {stream_key(3), {}}}};
    const auto read = DecodeOriginMessage(EncodeOriginMessage(message));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->kind, kind);
    ASSERT_EQ(read->origins.size(), 2u);
    EXPECT_EQ(read->origins[0].key, stream_key(1));
    EXPECT_EQ(read->origins[0].build, software_build(2));
    EXPECT_FALSE(read->origins[1].build);
  }
}

RC_GTEST_PROP(OriginMessages, DamagedOnesAreRefusedOrBounded, ()) {
  origin_message message;
  message.origins = {{stream_key(9), kBuild}};
  std::vector<std::uint8_t> bytes = EncodeOriginMessage(message);
  const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[position] = *rc::gen::arbitrary<std::uint8_t>();
  bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
  const auto read = DecodeOriginMessage(bytes);
  if (read) RC_ASSERT(read->origins.size() <= origin_message::kMaxOrigins);
}

/** Whatever is lost, cut or restarted, no daemon learns a build that the stream did not begin at.
 */
RC_GTEST_FIXTURE_PROP(OriginsTest, NoDaemonLearnsAWrongBuild, ()) {
  Build(2, 3);
  loss = *rc::gen::inRange(0, 5) / 10.0;
  std::map<stream_key, software_build> began;
  const int steps = *rc::gen::inRange(1, 30);
  for (int step = 0; step < steps; ++step) {
    const auto at = *rc::gen::inRange<std::size_t>(0, daemons.size());
    const stream_key key(*rc::gen::inRange<std::uint64_t>(1, 8));
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        if (!At(at).alive || began.count(key) > 0) break;
        began[key] = software_build(100 + *rc::gen::inRange<std::uint64_t>(0, 3));
        Begin(at, key, began[key]);
        break;
      case 1:
        At(at).alive = !At(at).alive;
        break;
      case 2:
        cut = cut.empty() ? std::set<std::string>{"dc1"} : std::set<std::string>{};
        break;
      default:
        if (!At(at).alive) break;
        const auto found = FindAt(at, key);
        if (found) RC_ASSERT(*found == began[key]);
        At(at).results.clear();
    }
  }
}

}  // namespace
}  // namespace hawthorndrum
