/// Tests that the parts of all daemons add up, whatever each of them knows of the others.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/daemon_directory.h"
#include "gateway/fleet_share.h"

namespace hawthorndrum {
namespace {

constexpr duration kWindow = seconds(10);
constexpr duration kTick = milliseconds(500);
constexpr duration kListPeriod = seconds(5);
constexpr double kTolerance = 1e-9;

/** Daemons that use their whole part once in each window, and the store that lists them. */
class sharing_fleet {
 public:
  explicit sharing_fleet(std::size_t daemons) : slots_(daemons) {}

  void Start(std::size_t daemon) { slots_[daemon].emplace(kWindow); }
  /** The process ends; its record stays in the store. */
  void Kill(std::size_t daemon) { slots_[daemon].reset(); }
  /** Removes the record first; the daemon goes on for as long as its callers need it. */
  void RemoveRecord(std::size_t daemon) {
    records_.erase(daemon);
    if (slots_[daemon]) slots_[daemon]->stopping = true;
  }
  void SetCutOff(std::size_t daemon, bool cut_off) {
    if (slots_[daemon]) slots_[daemon]->cut_off = cut_off;
  }

  void Tick() {
    now_ += kTick;
    for (std::size_t each = 0; each < slots_.size(); ++each) {
      if (slots_[each]) Run(each, *slots_[each]);
    }
    while (!used_.empty() && now_ - used_.front().at >= kWindow) used_.pop_front();
    double sum = 0;
    for (const use& each : used_) sum += each.part;
    most_used_ = std::max(most_used_, sum);
  }
  void Pass(duration time) {
    for (duration passed{0}; passed < time; passed += kTick) Tick();
  }
  double PartOf(std::size_t daemon) const { return slots_[daemon]->part.At(now_); }
  /** Returns the largest sum of the parts used in any window. */
  double most_used() const { return most_used_; }

 private:
  struct use {
    time_point at;
    std::size_t daemon;
    double part;
  };
  struct process {
    explicit process(duration window) : part(window) {}
    fleet_share part;
    time_point next_list;
    time_point next_use;
    bool cut_off = false;
    bool stopping = false;
  };

  void Run(std::size_t daemon, process& each) {
    if (!each.cut_off && !each.stopping) records_.insert(daemon);
    if (!each.cut_off && !each.stopping && now_ >= each.next_list) {
      each.next_list = now_ + kListPeriod;
      std::vector<daemon_record> others;
      for (const std::size_t other : records_) {
        if (other != daemon) others.push_back({"g" + std::to_string(other), "", ""});
      }
      each.part.OnListed(others, records_.count(daemon) > 0, now_);
    }
    const double part = each.part.At(now_);
    if (now_ < each.next_use || part == 0) return;
    each.next_use = now_ + kWindow;
    used_.push_back({now_, daemon, part});
  }

  std::vector<std::optional<process>> slots_;
  std::set<std::size_t> records_;
  std::deque<use> used_;
  time_point now_{seconds(100)};
  double most_used_ = 0;
};

TEST(FleetShares, EachDaemonGetsAnEqualPartOnceAllAreListed) {
  for (const std::size_t daemons : {1u, 8u}) {
    sharing_fleet fleet(daemons);
    for (std::size_t each = 0; each < daemons; ++each) fleet.Start(each);
    fleet.Pass(seconds(60));
    EXPECT_DOUBLE_EQ(fleet.PartOf(daemons - 1), 1.0 / static_cast<double>(daemons));
    EXPECT_LE(fleet.most_used(), 1 + kTolerance);
  }
}

TEST(FleetShares, ADaemonThatStartsAgainDoesNotUseItsHostsPartTwice) {
  sharing_fleet fleet(4);
  for (std::size_t each = 0; each < 4; ++each) fleet.Start(each);
  fleet.Pass(seconds(60));
  for (int restart = 0; restart < 10; ++restart) {
    for (std::size_t each = 0; each < 4; ++each) fleet.Start(each);
    fleet.Pass(seconds(2));
  }
  fleet.Pass(seconds(60));
  EXPECT_LE(fleet.most_used(), 1 + kTolerance);
  EXPECT_DOUBLE_EQ(fleet.PartOf(0), 1.0 / 4);
}

TEST(FleetShares, ADaemonThatNoListReachesUsesNothing) {
  sharing_fleet fleet(2);
  fleet.Start(0);
  fleet.Pass(seconds(60));
  fleet.SetCutOff(0, true);
  fleet.Pass(fleet_share::kMaxListAge + kListPeriod);
  EXPECT_EQ(fleet.PartOf(0), 0);
}

RC_GTEST_PROP(FleetShareProperties, NoWindowExceedsTheWholeWhateverDaemonsKnow, ()) {
  const auto daemons = *rc::gen::inRange<std::size_t>(1, 12);
  sharing_fleet fleet(daemons);
  const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 60)));
  for (const auto& [kind, number] : events) {
    const std::size_t daemon = static_cast<std::size_t>(number) % daemons;
    if (kind == 0) fleet.Start(daemon);
    if (kind == 1) fleet.Kill(daemon);
    if (kind == 2) fleet.RemoveRecord(daemon);
    if (kind == 3) fleet.SetCutOff(daemon, true);
    if (kind == 4) fleet.SetCutOff(daemon, false);
    if (kind == 5) fleet.Pass(milliseconds(500) * number);
  }
  RC_ASSERT(fleet.most_used() <= 1 + kTolerance);
}

}  // namespace
}  // namespace hawthorndrum
