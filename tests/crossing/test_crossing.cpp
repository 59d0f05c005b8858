/// Tests of when requests leave their data centre, and how many.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "crossing/crossing_policy.h"
#include "fake_random_source.h"

namespace hawthorndrum {
namespace {

constexpr double kRequestBytes = 20'000;

class CrossingTest : public testing::Test {
 protected:
  CrossingTest() : policy({}, "north", random) {
    policy.SetDaemons({{"north", 10}, {"south", 10}});
  }

  fake_random_source random;
  crossing_policy policy;
  time_point now{seconds(100)};
};

TEST_F(CrossingTest, NearCallsCostNothing) {
  EXPECT_EQ(policy.DelayMs("north"), 0);
  policy.OnConnected("north", milliseconds(500));
  EXPECT_EQ(policy.DelayMs("north"), 0);
}

// Load: near upstreams make callers wait for 40 ms; with free traffic, with the usual price and
// with a dear one.
TEST_F(CrossingTest, LeavingPaysOnlyIfTheTimeWonIsWorthTheBytes) {
  crossing_policy free_bytes({0, 0}, "north", random);
  crossing_policy dear({10'000, 0}, "north", random);
  EXPECT_TRUE(free_bytes.Pays(40, kRequestBytes, "llm", "south"));
  EXPECT_TRUE(policy.Pays(40, kRequestBytes, "llm", "south"));
  EXPECT_FALSE(dear.Pays(40, kRequestBytes, "llm", "south"));
  // The link's delay counts even where bytes are free.
  EXPECT_FALSE(free_bytes.Pays(1, kRequestBytes, "llm", "south"));
  // A dear link never makes a request fail that could run elsewhere.
  EXPECT_TRUE(dear.Pays(crossing_policy::kMaxPriceMs + 100, 1e12, "llm", "south"));
}

// Load: connections over a link that turns slow by 300 ms, and back.
TEST_F(CrossingTest, ASlowLinkIsMeasuredByItsConnections) {
  const auto connects = [&](int count, duration there) {
    for (int i = 0; i < count; ++i) {
      policy.OnConnected("north", milliseconds(2));
      policy.OnConnected("south", there);
    }
  };
  connects(50, milliseconds(3));
  EXPECT_TRUE(policy.Pays(50, kRequestBytes, "llm", "south"));
  connects(50, milliseconds(303));
  EXPECT_FALSE(policy.Pays(50, kRequestBytes, "llm", "south"));
  connects(50, milliseconds(3));
  EXPECT_TRUE(policy.Pays(50, kRequestBytes, "llm", "south"));
}

// Guards against a daemon that starts and uses all free slots, as if no other did.
TEST_F(CrossingTest, ADaemonThatDoesNotKnowTheOthersUsesNoSlots) {
  crossing_policy started({}, "north", random);
  EXPECT_EQ(started.SlotsFor("llm", "south", {400, 400}, now), 0);
  started.SetDaemons({{"north", 1}});
  EXPECT_GT(started.SlotsFor("llm", "south", {400, 400}, now), 0);
}

// Load: a neighbour that is idle, half busy and full; its own callers come first.
TEST_F(CrossingTest, TheShareShrinksWithTheNeighboursLoad) {
  const double idle = policy.SlotsFor("llm", "south", {400, 400}, now);
  const double half = policy.SlotsFor("llm", "south", {400, 200}, now);
  // What this daemon and nine others have there already is part of what the neighbour leaves.
  EXPECT_EQ(policy.SlotsFor("llm", "south", {400, 200, 10}, now),
            policy.SlotsFor("llm", "south", {400, 300}, now));
  const double busy = policy.SlotsFor("llm", "south", {400, 40}, now);
  EXPECT_LE(idle, 40);  // 400 slots for 10 daemons
  EXPECT_LT(half, idle / 2);
  EXPECT_LT(busy, half / 10);
  EXPECT_EQ(policy.SlotsFor("llm", "south", {400, 0}, now), 0);
  EXPECT_EQ(policy.SlotsFor("llm", "south", {0, 0}, now), 0);
}

// Load: a neighbour that reports free slots, while this daemon's calls there fail or take long.
TEST_F(CrossingTest, OwnResultsCorrectAFalseLoad) {
  const crossing_room reported{400, 400};
  const double believed = policy.SlotsFor("llm", "south", reported, now);
  for (int i = 0; i < 5; ++i) policy.OnFailure("llm", "south", now);
  EXPECT_LT(policy.SlotsFor("llm", "south", reported, now), believed / 8);
  EXPECT_GT(policy.SlotsFor("llm", "south", reported, now), 0);
  // It is tried again after a while.
  EXPECT_EQ(policy.SlotsFor("llm", "south", reported, now + seconds(30)), believed);
  for (int i = 0; i < 20; ++i) {
    policy.OnAnswer("llm", "north", milliseconds(80), milliseconds(90), now);
    policy.OnAnswer("llm", "south", milliseconds(80), milliseconds(900), now);
  }
  EXPECT_LT(policy.SlotsFor("llm", "south", reported, now), believed / 8);
  // Where near calls are as late, the neighbour is not to blame.
  for (int i = 0; i < 60; ++i) {
    policy.OnAnswer("llm", "north", milliseconds(80), milliseconds(900), now);
    policy.OnAnswer("llm", "south", milliseconds(80), milliseconds(900), now);
  }
  EXPECT_GT(policy.SlotsFor("llm", "south", reported, now), believed / 2);
}

/** How the hosts of the play decide. */
enum class rule { kNever, kLeastLoaded, kConstant, kPolicy };

struct play_load {
  /** Calls a second of all callers of each data centre, as shares of its capacity. */
  double north = 0.5;
  double south = 0.5;
  /** The north's load between seconds 5 and 15. */
  double north_burst = 0.5;
  double north_capacity = 1;
};

struct play_result {
  double north_ms = 0;
  double south_ms = 0;
  /** The longest wait in the south. */
  double south_longest_ms = 0;
  double moved_megabytes = 0;
  int left = 0;

  double mean_ms() const { return (north_ms + south_ms) / 2; }
};

/**
 * Two data centres of 20 daemons each. Upstreams of a data centre serve a common queue; every
 * daemon knows its own calls and the queues as they were up to 300 ms ago.
 */
class crossing_play {
 public:
  explicit crossing_play(play_load load) : load_(load) {
    for (int i = 0; i < kDaemons; ++i) {
      const std::string own = i % 2 == 0 ? "north" : "south";
      policies_.push_back(std::make_unique<crossing_policy>(crossing_terms{}, own, random_));
      policies_.back()->SetDaemons({{"north", kDaemons / 2}, {"south", kDaemons / 2}});
    }
  }

  play_result Run(rule how) {
    for (int tick = 0; tick < kTicks; ++tick) {
      now_ += milliseconds(kTickMs);
      for (std::vector<time_point>& each : open_)
        each.erase(
            std::remove_if(each.begin(), each.end(), [&](time_point end) { return end <= now_; }),
            each.end());
      if (tick % kReportTicks == 0) {
        known_ = {queue_[0], queue_[1]};
      }
      const bool burst = tick >= kTicks / 4 && tick < 3 * kTicks / 4;
      Arrive(0, burst ? load_.north_burst : load_.north, how);
      Arrive(1, load_.south, how);
      for (const int at : {0, 1})
        queue_[at] -= std::min(queue_[at], kSlots * CapacityOf(at)) * kTickMs / kCallMs;
    }
    result_.north_ms /= std::max(1, arrived_[0]);
    result_.south_ms /= std::max(1, arrived_[1]);
    return result_;
  }

 private:
  static constexpr int kDaemons = 40;
  static constexpr int kTickMs = 10;
  static constexpr int kTicks = 2000;
  static constexpr int kReportTicks = 30;
  static constexpr double kSlots = 200;
  static constexpr double kCallMs = 100;
  static constexpr double kServedPerTick = kSlots * kTickMs / kCallMs;
  static constexpr double kLinkMs = 2;
  /** A call that would take longer than this is as bad as refused. */
  static constexpr double kLongestMs = 3000;

  double WaitMs(double queue, double capacity) const {
    if (capacity <= 0) return kLongestMs;
    return std::min(kLongestMs,
                    std::max(0.0, queue - kSlots * capacity) / kSlots / capacity * kCallMs);
  }
  double CapacityOf(int at) const { return at == 0 ? load_.north_capacity : 1; }

  void Arrive(int at, double load, rule how) {
    due_[at] += load * kServedPerTick;
    for (; due_[at] >= 1; due_[at] -= 1) {
      const int to = Choose(at, how) ? 1 - at : at;
      const double took_ms =
          WaitMs(queue_[to], CapacityOf(to)) + kCallMs + (to == at ? 0 : kLinkMs);
      queue_[to] += 1;
      arrived_[at] += 1;
      (at == 0 ? result_.north_ms : result_.south_ms) += took_ms;
      if (at == 1) result_.south_longest_ms = std::max(result_.south_longest_ms, took_ms);
      if (to == at) continue;
      result_.left += 1;
      result_.moved_megabytes += kRequestBytes / 1e6;
    }
  }

  bool Choose(int at, rule how) {
    const double near_ms = WaitMs(known_[at], CapacityOf(at));
    const double far_ms = WaitMs(known_[1 - at], CapacityOf(1 - at));
    const std::size_t daemon = 2 * random_.Below(kDaemons / 2) + at;
    crossing_policy& mine = *policies_[daemon];
    const std::string there = at == 0 ? "south" : "north";
    switch (how) {
      case rule::kNever:
        return false;
      case rule::kLeastLoaded:
        return known_[1 - at] / std::max(0.01, CapacityOf(1 - at)) <
               known_[at] / std::max(0.01, CapacityOf(at));
      case rule::kConstant:
        return far_ms + 8 < near_ms;
      case rule::kPolicy:
        break;
    }
    if (!mine.Pays(near_ms - far_ms, kRequestBytes, "llm", there)) return false;
    const double slots = kSlots * CapacityOf(1 - at);
    const bool leaves = mine.TakeTurn(
        "llm", there,
        {slots, std::max(0.0, slots - known_[1 - at]), static_cast<double>(open_[daemon].size())},
        now_);
    if (leaves) {
      const auto taken = milliseconds(
          static_cast<int>(WaitMs(queue_[1 - at], CapacityOf(1 - at)) + kCallMs + kLinkMs));
      mine.OnAnswer("llm", there, milliseconds(static_cast<int>(kCallMs)), taken, now_);
      open_[daemon].push_back(now_ + taken);
    }
    return leaves;
  }

  play_load load_;
  fake_random_source random_;
  std::vector<std::unique_ptr<crossing_policy>> policies_;
  time_point now_{seconds(100)};
  std::vector<double> queue_{0, 0};
  std::vector<double> known_{0, 0};
  std::vector<double> due_{0, 0};
  std::vector<int> arrived_{0, 0};
  /** When the calls end that each daemon has in the other data centre. */
  std::vector<std::vector<time_point>> open_ = std::vector<std::vector<time_point>>(kDaemons);
  play_result result_;
};

play_result Play(const play_load& load, rule how) {
  const play_result result = crossing_play(load).Run(how);
  static const char* const kNames[] = {"never", "least loaded", "constant", "policy"};
  std::printf("%-13s north %6.0f ms, south %6.0f ms (longest %5.0f), %5d left, %6.1f MB\n",
              kNames[static_cast<int>(how)], result.north_ms, result.south_ms,
              result.south_longest_ms, result.left, result.moved_megabytes);
  return result;
}

// Load: the north has a burst of 1.4 times its capacity for 10 s, the south is half idle.
TEST(CrossingPlay, ABurstIsServedByTheNeighboursFreeSlots) {
  const play_load load{0.5, 0.5, 1.4, 1};
  const play_result never = Play(load, rule::kNever);
  const play_result least = Play(load, rule::kLeastLoaded);
  const play_result constant = Play(load, rule::kConstant);
  const play_result policy = Play(load, rule::kPolicy);
  EXPECT_LT(policy.mean_ms(), never.mean_ms() / 2);
  EXPECT_LT(policy.moved_megabytes, least.moved_megabytes);
  // The neighbour's own callers hardly notice.
  EXPECT_LT(policy.south_ms, 1.1 * never.south_ms);
  EXPECT_LE(policy.south_longest_ms, constant.south_longest_ms);
}

// Load: the north has lost nine tenths of its upstreams, the south is half idle.
TEST(CrossingPlay, ADataCentreWithHardlyAnyUpstreamsUsesItsNeighbour) {
  const play_load load{0.4, 0.4, 0.4, 0.1};
  const play_result never = Play(load, rule::kNever);
  Play(load, rule::kLeastLoaded);
  Play(load, rule::kConstant);
  const play_result policy = Play(load, rule::kPolicy);
  EXPECT_LT(policy.north_ms, never.north_ms / 2);
  EXPECT_LT(policy.south_ms, 1.1 * never.south_ms);
}

// Load: both are full, one a little more; free slots are nowhere.
TEST(CrossingPlay, NothingLeavesWhereAllAreFull) {
  const play_load load{1.3, 1.2, 1.3, 1};
  const play_result never = Play(load, rule::kNever);
  const play_result least = Play(load, rule::kLeastLoaded);
  Play(load, rule::kConstant);
  const play_result policy = Play(load, rule::kPolicy);
  EXPECT_LT(policy.mean_ms(), 1.05 * never.mean_ms());
  EXPECT_LT(policy.left, least.left / 10);
}

// Load: 40 senders with loads up to 300 ms old; the south has a fifth, then a twentieth, of its
// slots free, and the north has a little more than it can serve. Work must not swing back and
// forth.
TEST(CrossingPlay, ManySendersWithOldLoadsDoNotSwing) {
  for (const double south : {0.8, 0.95}) {
    const play_load load{south, south, 1.05, 1};
    const play_result never = Play(load, rule::kNever);
    const play_result least = Play(load, rule::kLeastLoaded);
    Play(load, rule::kConstant);
    const play_result policy = Play(load, rule::kPolicy);
    EXPECT_LT(policy.left, least.left / 5);
    EXPECT_LT(policy.south_longest_ms, least.south_longest_ms);
    EXPECT_LE(policy.mean_ms(), never.mean_ms());
    EXPECT_LT(policy.south_ms, 1.1 * never.south_ms);
    if (south < 0.9) {
      EXPECT_LT(policy.north_ms, never.north_ms / 1.5);
    }
  }
}

}  // namespace
}  // namespace hawthorndrum
