/// Tests how evidence on crashes spreads: time, bytes, restarts, cuts, lost datagrams.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "crashes/crash_exchange.h"
#include "crashes/crash_sender.h"
#include "fake_clock.h"
#include "fake_random_source.h"
#include "gateway/daemon_directory.h"
#include "recording_log.h"

namespace hawthorndrum {
namespace {

/** Bytes of the UDP and IP headers of a datagram. */
constexpr std::size_t kDatagramHeader = 28;
/** What a daemon may send and receive in a second for control. */
constexpr std::size_t kBudgetBytes = 11 * 1024;
/** Within this time after the fifth crash no daemon sends such requests any more. */
constexpr duration kStabilityWindow = seconds(3);
constexpr duration kTick = milliseconds(20);

const suspect kShared{suspect_id(1), 0};
const suspect kBad{suspect_id(2), 1};

struct simulated_daemon : crash_sender {
  simulated_daemon(std::string name, const clock& time, random_source& random)
      : name(std::move(name)), time(time), random(random) {
    Restart();
  }
  void Restart() {
    exchange = std::make_unique<crash_exchange>(directory, *this, random, log, name);
  }
  void SendCrashes(const std::string& address, const crash_message& message) override {
    sent.emplace_back(address, EncodeCrashMessage(message, time.Now()));
  }
  bool Convicts(const suspect& each) {
    return exchange->IsConvicted(std::vector<suspect>{each}, time.Now());
  }

  std::string name;
  const clock& time;
  random_source& random;
  daemon_directory directory{name};
  recording_log log;
  std::unique_ptr<crash_exchange> exchange;
  std::deque<std::pair<std::string, std::vector<std::uint8_t>>> sent;
  bool alive = true;
  /** Sent and received since the start of the second. */
  std::size_t bytes = 0;
};

class CrashFleetTest : public testing::Test {
 protected:
  void Build(std::size_t count) {
    std::vector<daemon_record> records;
    for (std::size_t i = 0; i < count; ++i) {
      const std::string name = "d" + std::to_string(i);
      records.push_back({name, name, "dc"});
      daemons.push_back(std::make_unique<simulated_daemon>(name, time, random));
      by_name[name] = daemons.back().get();
    }
    for (auto& each : daemons) each->directory.Replace(records);
  }
  simulated_daemon& At(std::size_t index) { return *daemons[index]; }
  simulated_daemon& Any() { return At(random.Below(daemons.size())); }

  void Deliver() {
    for (auto& from : daemons) {
      while (!from->sent.empty()) {
        const auto [address, bytes] = std::move(from->sent.front());
        from->sent.pop_front();
        from->bytes += bytes.size() + kDatagramHeader;
        simulated_daemon& to = *by_name.at(address);
        const bool is_cut = cut.count(from->name) != cut.count(to.name);
        if (!from->alive || !to.alive || is_cut || random.Fraction() < loss) continue;
        to.bytes += bytes.size() + kDatagramHeader;
        const auto message = DecodeCrashMessage(bytes, time.Now());
        ASSERT_TRUE(message);
        to.exchange->OnMessage(*message, from->name, time.Now());
      }
    }
  }
  void Pass(duration length) {
    for (duration passed{0}; passed < length; passed += kTick) {
      time.Advance(kTick);
      for (auto& each : daemons) {
        if (each->alive) each->exchange->Run(time.Now());
      }
      Deliver();
      if (++ticks % (seconds(1) / kTick) != 0) continue;
      for (auto& each : daemons) most_bytes = std::max(most_bytes, std::exchange(each->bytes, 0));
    }
  }
  /** An upstream is lost with a bad request of one daemon and sound ones of some others. */
  void Crash(std::size_t sound_beside = 0) {
    const upstream_loss loss{upstream_id(++upstreams), time.Now() - milliseconds(60), time.Now()};
    Any().exchange->RecordLoss(std::vector<suspect>{kShared, kBad}, loss, time.Now());
    for (std::size_t i = 0; i < sound_beside; ++i) {
      const suspect session{suspect_id(random.Draw()), 1};
      Any().exchange->RecordLoss(std::vector<suspect>{kShared, session}, loss, time.Now());
    }
  }
  /** A sound request with the same first part is answered. */
  void AnswerSound() {
    Any().exchange->RecordSound(std::vector<suspect>{kShared}, time.Now(), time.Now());
  }
  std::size_t Convicting(const suspect& each) {
    return static_cast<std::size_t>(
        std::count_if(daemons.begin(), daemons.end(),
                      [&](auto& daemon) { return daemon->alive && daemon->Convicts(each); }));
  }

  fake_clock time;
  fake_random_source random;
  std::vector<std::unique_ptr<simulated_daemon>> daemons;
  std::unordered_map<std::string, simulated_daemon*> by_name;
  std::set<std::string> cut;
  double loss = 0;
  std::uint64_t upstreams = 100;
  std::size_t most_bytes = 0;
  std::int64_t ticks = 0;
};

TEST_F(CrashFleetTest, CrashesThatDifferentDaemonsSawConvictAtAll) {
  Build(8);
  Pass(seconds(2));
  for (int i = 0; i < 5; ++i) {
    Crash(12);
    AnswerSound();
    Pass(milliseconds(180));
  }
  Pass(seconds(1));
  EXPECT_EQ(Convicting(kBad), 8u);
  EXPECT_EQ(Convicting(kShared), 0u);
}

// The design size: 410 daemons, each of which sees at most one of the crashes.
TEST_F(CrashFleetTest, TheFleetOfTheDesignSizeConvictsInTimeAndStaysInItsBudget) {
  Build(410);
  loss = 0.05;
  Pass(seconds(3));
  most_bytes = 0;
  for (int i = 0; i < 5; ++i) {
    Crash(24);
    for (int answers = 0; answers < 10; ++answers) AnswerSound();
    Pass(milliseconds(200));
  }
  Pass(kStabilityWindow - milliseconds(200));
  EXPECT_EQ(Convicting(kBad), 410u);
  EXPECT_EQ(Convicting(kShared), 0u);
  Pass(seconds(6));
  EXPECT_EQ(Convicting(kBad), 410u);
  EXPECT_EQ(Convicting(kShared), 0u);
  std::printf("most bytes of a daemon in a second: %zu\n", most_bytes);
  EXPECT_LE(most_bytes, kBudgetBytes);
}

TEST_F(CrashFleetTest, ADaemonThatStartsLearnsWhatIsConvicted) {
  Build(410);
  for (int i = 0; i < 5; ++i, Pass(milliseconds(200))) Crash();
  Pass(kStabilityWindow);
  for (std::size_t at : {3u, 77u, 400u}) At(at).Restart();
  EXPECT_EQ(Convicting(kBad), 407u);
  Pass(seconds(1));
  EXPECT_EQ(Convicting(kBad), 410u);
}

TEST_F(CrashFleetTest, DaemonsThatWereCutOffLearnWhatIsConvicted) {
  Build(8);
  cut = {"d0", "d1", "d2"};
  for (int i = 0; i < 40; ++i, Pass(milliseconds(200))) Crash();
  cut.clear();
  Pass(kStabilityWindow);
  EXPECT_EQ(Convicting(kBad), 8u);
}

TEST_F(CrashFleetTest, AWrongConvictionEndsEverywhereWithASoundAnswer) {
  Build(40);
  for (int i = 0; i < 5; ++i, Pass(milliseconds(200))) {
    const upstream_loss lost{upstream_id(++upstreams), time.Now(), time.Now()};
    Any().exchange->RecordLoss(std::vector<suspect>{kShared}, lost, time.Now());
  }
  Pass(kStabilityWindow);
  EXPECT_EQ(Convicting(kShared), 40u);
  AnswerSound();
  Pass(kStabilityWindow);
  EXPECT_EQ(Convicting(kShared), 0u);
  Pass(seconds(10));
  EXPECT_EQ(Convicting(kShared), 0u) << "old evidence must not come back";
}

TEST_F(CrashFleetTest, AConvictionStaysAtDaemonsThatSeeNoSuchRequest) {
  Build(20);
  for (int i = 0; i < 5; ++i, Pass(milliseconds(200))) Crash();
  Pass(kStabilityWindow);
  for (int i = 0; i < 4; ++i) {
    At(5).Convicts(kBad);
    Pass(crash_record::kConvictionLifetime / 3);
  }
  EXPECT_EQ(Convicting(kBad), 20u);
}

TEST_F(CrashFleetTest, AConvictionAndItsEndAreLogged) {
  Build(2);
  for (int i = 0; i < 4; ++i, Pass(milliseconds(200))) Crash();
  Pass(seconds(1));
  for (auto& each : daemons) {
    const std::string line = each->log.LastOf("suspect_judged");
    EXPECT_NE(line.find(NameOf(kBad.id)), std::string::npos) << line;
    EXPECT_NE(line.find("convicted"), std::string::npos) << line;
  }
  At(0).exchange->RecordSound(std::vector<suspect>{kShared, kBad}, time.Now(), time.Now());
  Pass(seconds(1));
  for (auto& each : daemons) {
    const std::string line = each->log.LastOf("suspect_judged");
    EXPECT_NE(line.find("cleared"), std::string::npos) << line;
  }
}

TEST_F(CrashFleetTest, NothingIsSentInQuietTimes) {
  Build(8);
  Pass(seconds(2));
  most_bytes = 0;
  Pass(seconds(5));
  EXPECT_EQ(most_bytes, 0u);
}

// Guards against a daemon that never comes back from its first tick: a host was replaced under
// another name, the record of the former one stayed, and both have the same address.
TEST(CrashExchange, RecordsWithOneAddressAreOneDaemon) {
  fake_clock time;
  fake_random_source random;
  simulated_daemon daemon("g1", time, random);
  daemon.directory.Replace({{"g2", "10.1.0.2:7380", "north"}, {"g3", "10.1.0.2:7380", "north"}});
  time.Advance(seconds(10));
  daemon.exchange->Run(time.Now());
  ASSERT_EQ(daemon.sent.size(), 1u);
  EXPECT_EQ(daemon.sent.front().first, "10.1.0.2:7380");
}

}  // namespace
}  // namespace hawthorndrum
