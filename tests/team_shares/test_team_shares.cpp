/// Tests of how short room is shared among teams.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <vector>

#include "base/cbor.h"
#include "teams/share_exchange.h"
#include "teams/team_shares.h"

namespace hawthorndrum {
namespace {

time_point At(double seconds) {
  return time_point() + milliseconds(1000000) + duration(static_cast<std::int64_t>(seconds * 1e6));
}

/** A kind of callers: how many teams, and what all of them together ask for, in rooms. */
struct team_group {
  int teams = 0;
  double load = 0;
  int priority = 1;
};

/**
 * Upstreams that work on one request at a time, as engines do on prompts, and daemons that know
 * each other's queues and rates only from what was last sent. A team's callers prefer some daemons
 * by a hash.
 */
class shared_room {
 public:
  static constexpr int kUpstreams = 20;
  static constexpr int kDaemons = 8;
  /** Upstreams among which a daemon chooses, since all of them see the same idle ones. */
  static constexpr int kSampled = 4;
  static constexpr double kMeanWork = 0.05;
  /** An engine reads 2,048 tokens of a prompt at a time, 61.8 in a millisecond. */
  static constexpr double kPiece = 0.033;
  static constexpr double kObjective = 0.5;
  /** The gateway's bound on the wait, in objectives. */
  static constexpr double kLongestWait = 2;
  static constexpr double kSendPeriod = 0.05;
  static constexpr double kReportPeriod = 1;

  struct outcome {
    int asked = 0;
    int served = 0;
    double work = 0;
    std::vector<double> latencies;

    double P99() {
      std::sort(latencies.begin(), latencies.end());
      return latencies.empty() ? 0 : latencies[latencies.size() * 99 / 100];
    }
    double Served() const { return asked == 0 ? 1 : static_cast<double>(served) / asked; }
  };

  shared_room(std::vector<team_group> groups, bool shares, unsigned seed)
      : groups_(std::move(groups)), shares_(shares), random_(seed) {}

  /** Plays the load and returns the outcome of each group. */
  std::vector<outcome> Play(double seconds) {
    std::vector<outcome> outcomes(groups_.size());
    std::vector<double> loads;
    double rate = 0;
    for (const team_group& each : groups_) {
      loads.push_back(each.load);
      rate += each.load * kUpstreams / kMeanWork;
    }
    std::exponential_distribution<double> gap(rate);
    std::discrete_distribution<std::size_t> pick(loads.begin(), loads.end());
    double sent_at = 0;
    double reported_at = 0;
    for (double now = gap(random_); now < seconds; now += gap(random_)) {
      if (now - sent_at >= kSendPeriod) SendQueues(sent_at = now);
      if (now - reported_at >= kReportPeriod) SendReports(reported_at = now);
      Arrive(now, pick(random_), outcomes);
    }
    return outcomes;
  }

 private:
  struct job {
    double at = 0;
    double left = 0;
    std::size_t group = 0;
  };
  /** Works on the most urgent job, in pieces. */
  struct upstream {
    double free_at = 0;
    double queued = 0;
    std::map<int, std::deque<job>> waiting;

    double BusyUntil(double now) const { return std::max(now, free_at) + queued; }
  };

  void Advance(double now, std::vector<outcome>& outcomes) {
    for (upstream& each : upstreams_) {
      while (each.free_at <= now && !each.waiting.empty()) {
        auto& first = each.waiting.begin()->second;
        job& next = first.front();
        const double piece = std::min(kPiece, next.left);
        next.left -= piece;
        each.queued -= piece;
        each.free_at = std::max(each.free_at, next.at) + piece;
        outcomes[next.group].work += piece;
        if (next.left > 0) continue;
        outcomes[next.group].latencies.push_back(each.free_at - next.at);
        first.pop_front();
        if (first.empty()) each.waiting.erase(each.waiting.begin());
      }
    }
  }
  void Arrive(double now, std::size_t group, std::vector<outcome>& outcomes) {
    Advance(now, outcomes);
    const std::uint64_t team =
        1000 * (group + 1) + random_() % static_cast<unsigned>(groups_[group].teams);
    // Half of a team's callers are at one daemon, the rest anywhere.
    const int home = static_cast<int>(team * 7919 % kDaemons);
    const int at = random_() % 2 == 0 ? home : static_cast<int>(random_() % kDaemons);
    const double work = std::exponential_distribution<double>(1 / kMeanWork)(random_);
    const team_place place{1, groups_[group].priority, team};
    daemon& served_by = daemons_[at];
    int best = static_cast<int>(random_() % kUpstreams);
    for (int i = 1; i < kSampled; ++i) {
      const int other = static_cast<int>(random_() % kUpstreams);
      if (served_by.seen[other] < served_by.seen[best]) best = other;
    }
    const double wait = std::max(0.0, served_by.seen[best] - now) / kObjective;
    const auto verdict = shares_ ? served_by.shares.Judge(place, kMeanWork, wait, At(now))
                                 : share_verdict::kAdmitted;
    const bool admitted = verdict != share_verdict::kRefused && wait <= kLongestWait;
    served_by.shares.Record(place, kMeanWork, admitted, At(now));
    outcomes[group].asked += 1;
    if (!admitted) return;
    const int rank = 2 * place.priority + (verdict == share_verdict::kBehindOthers ? 1 : 0);
    upstreams_[best].waiting[rank].push_back({now, work, group});
    upstreams_[best].queued += work;
    served_by.seen[best] = std::max(now, served_by.seen[best]) + kMeanWork;
    outcomes[group].served += 1;
  }
  void SendQueues(double now) {
    for (daemon& each : daemons_) {
      for (int i = 0; i < kUpstreams; ++i) each.seen[i] = upstreams_[i].BusyUntil(now);
    }
  }
  void SendReports(double now) {
    for (int i = 0; i < kDaemons; ++i) {
      const auto report = daemons_[i].shares.Report(At(now));
      for (int k = 0; k < kDaemons; ++k) {
        if (k != i) daemons_[k].shares.OnReport(incarnation_id(i + 1), report, At(now));
      }
    }
  }

  struct daemon {
    team_shares shares;
    /** When each upstream will be free, as far as the daemon knows. */
    std::vector<double> seen = std::vector<double>(kUpstreams, 0);
  };
  std::vector<team_group> groups_;
  bool shares_;
  std::mt19937 random_;
  std::vector<upstream> upstreams_ = std::vector<upstream>(kUpstreams);
  std::vector<daemon> daemons_ = std::vector<daemon>(kDaemons);
};

constexpr double kPlayed = 120;

// Load: four large teams ask for two and a half times the room, seventy small ones for a fifth.
class LargeTeamsTest : public testing::TestWithParam<unsigned> {};

TEST_P(LargeTeamsTest, HardlyDelaySmallOnes) {
  constexpr double kMaxRatio = 1.2;
  const team_group small{70, 0.2};
  const team_group large{4, 2.5};
  const unsigned seed = GetParam();
  const double alone = shared_room({small}, true, seed).Play(kPlayed)[0].P99();
  auto both = shared_room({small, large}, true, seed).Play(kPlayed);
  EXPECT_LE(both[0].P99(), kMaxRatio * alone);
  EXPECT_GT(both[0].Served(), 0.999);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LargeTeamsTest, testing::Range(1U, 21U));

// Load: the same; what the small ones leave is not wasted.
TEST(TeamShares, LargeTeamsGetAllThatIsLeft) {
  auto both = shared_room({{70, 0.2}, {4, 2.5}}, true, 1).Play(kPlayed);
  auto without = shared_room({{70, 0.2}, {4, 2.5}}, false, 1).Play(kPlayed);
  const double used = both[0].work + both[1].work;
  EXPECT_GT(used, 0.97 * (without[0].work + without[1].work));
}

// Load: two large teams, one of which asks for six times as much.
TEST(TeamShares, LargeTeamsGetTheSameHoweverMuchTheyAskFor) {
  auto both = shared_room({{1, 0.6}, {1, 3.6}}, true, 2).Play(kPlayed);
  EXPECT_NEAR(both[0].work / (both[0].work + both[1].work), 0.5, 0.1);
}

// Load: an urgent team that needs most of the room, and one that is less urgent and presses.
TEST(TeamShares, UrgentWorkGoesFirstAndTheRestIsNotStarved) {
  auto both = shared_room({{1, 0.8, 0}, {1, 2, 5}}, true, 3).Play(kPlayed);
  EXPECT_GT(both[0].Served(), 0.98);
  EXPECT_GT(both[1].work, 0.08 * (both[0].work + both[1].work));
}

// Load: every team is as small as the others, and together they ask for half as much again.
TEST(TeamShares, AmongEqualTeamsNoneIsStarved) {
  constexpr double kLeastOfMean = 0.25;
  std::vector<team_group> groups(60, {1, 0.025});
  const auto outcomes = shared_room(groups, true, 4).Play(kPlayed);
  for (const auto& each : outcomes) EXPECT_GT(each.Served(), kLeastOfMean * 0.66);
}

TEST(TeamShares, NobodyIsRefusedWhileThereIsRoom) {
  auto outcomes = shared_room({{1, 0.6}, {70, 0.1}}, true, 5).Play(kPlayed);
  EXPECT_EQ(outcomes[0].Served(), 1);
  EXPECT_EQ(outcomes[1].Served(), 1);
}

TEST(TeamShares, TheTimeToATeamsTurnGrowsWithWhatItAsksFor) {
  team_shares shares;
  for (int i = 0; i < 4000; ++i) {
    const time_point now = At(i * 0.001);
    shares.Judge({1, 1, 3}, 1, 1, now);
    shares.Record({1, 1, 1}, 1, i % 2 == 0, now);
    for (int k = 0; k < 4; ++k) shares.Record({1, 1, 2}, 1, k == 0 && i % 2 == 0, now);
  }
  const duration one = shares.TimeToTurn({1, 1, 1}, At(4));
  const duration four = shares.TimeToTurn({1, 1, 2}, At(4));
  EXPECT_GT(four, one);
  EXPECT_NEAR(ToSeconds(four) - ToSeconds(one), ToSeconds(team_rates::kMemory) * std::log(4), 0.1);
  EXPECT_EQ(shares.TimeToTurn({1, 1, 3}, At(4)), milliseconds(250));
}

TEST(TeamShares, ReportsStaySmallAndMemoryFollowsTheActiveTeams) {
  team_shares shares;
  for (std::uint64_t team = 1; team <= 31000; ++team)
    shares.Record({1, static_cast<int>(team % 3), team}, 1, true, At(0));
  EXPECT_LE(shares.Report(At(0)).size(), team_shares::kMostReported + 3);
  EXPECT_EQ(shares.rows(), 31000u);
  shares.Report(At(30));
  EXPECT_EQ(shares.rows(), 0u);
}

TEST(ShareMessage, SurvivesTheWayAndSkipsWhatIsUnknown) {
  share_message message{incarnation_id(7), {{{5, 2, 9}, 1200, 800}, {{5, 3, 0}, 40, 40}}};
  const auto bytes = EncodeShareMessage(message);
  const auto read = DecodeShareMessage(bytes);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->sender, message.sender);
  ASSERT_EQ(read->rates.size(), 2u);
  EXPECT_EQ(read->rates[0].place, message.rates[0].place);
  EXPECT_EQ(read->rates[0].admitted, 800);
  const auto later = EncodeCbor(nlohmann::json::parse(
      R"(["team_shares",2,7,[[5,2,9,100,900,"more"],[5,2],"x",[5,-1,9,1,1]],{"more":1}])"));
  const auto skipped = DecodeShareMessage(later);
  ASSERT_TRUE(skipped);
  ASSERT_EQ(skipped->rates.size(), 1u);
  EXPECT_EQ(skipped->rates[0].admitted, 100) << "no team gets more than it asks for";
  for (const char* other : {R"(["usage",1,7,[]])", R"(["team_shares",0,7,[]])", R"([10,7])",
                            R"(["team_shares",1,"x",[]])", "7", R"(["team_shares",1,7])"})
    EXPECT_FALSE(DecodeShareMessage(EncodeCbor(nlohmann::json::parse(other)))) << other;
}

// Load: 31,000 teams at each of 410 daemons, all short of room.
TEST(ShareExchange, SendsLittleInALargeFleetAndNothingWhileThereIsRoom) {
  constexpr std::size_t kOthers = 409;
  constexpr double kMaxBytesPerSecond = 11000;
  constexpr int kSeconds = 60;
  team_shares shares;
  share_exchange exchange(shares, incarnation_id(1));
  for (std::uint64_t team = 1; team <= 31000; ++team)
    shares.Record({~std::uint64_t{0}, static_cast<int>(team % 3), ~team}, 20000, true, At(0));
  EXPECT_FALSE(exchange.Run(kOthers, At(1)));
  std::size_t bytes = 0;
  for (int i = 0; i < kSeconds * 10; ++i) {
    const time_point now = At(20 + i * 0.1);
    for (std::uint64_t team = 1; team <= 200; ++team)
      shares.Record({~std::uint64_t{0}, 1, ~team}, 20000, team % 2 == 0, now);
    shares.Judge({~std::uint64_t{0}, 1, 1}, 1, 2, now);
    if (const auto report = exchange.Run(kOthers, now))
      bytes += kOthers * EncodeShareMessage(*report).size();
  }
  EXPECT_GT(bytes, 0u);
  EXPECT_LT(static_cast<double>(bytes) / kSeconds, kMaxBytesPerSecond);
}

}  // namespace
}  // namespace hawthorndrum
