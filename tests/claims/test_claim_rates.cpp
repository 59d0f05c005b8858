/// Measures the cost of claims: store writes, reads, conflicts and latency, by rate and fleet size.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <map>

#include "claim_fleet.h"

namespace hawthorndrum {
namespace {

constexpr duration kStoreLatency = milliseconds(5);
constexpr int kPeerLatencyMs = 1;
constexpr int kRunMs = 200;
constexpr int kSimulatedMs = 3000;
constexpr int kDrainMs = 1000;

struct setting {
  int rate = 1;
  int daemons = 1;
  int data_centres = 1;
  bool forward = true;
  std::uint32_t buckets = 16;
  int length_ms = kSimulatedMs;
  duration settle_delay = claim_commit_limits().settle_delay;
  std::size_t archive_above = claim_commit_limits().archive_above;
};

struct cost {
  double writes = 0;
  double reads = 0;
  double conflicts = 0;
  double kilobytes = 0;
  int median_ms = 0;
  int slowest_ms = 0;
  int claims = 0;
  int granted = 0;
};

/** Simulates a fleet with latencies of store calls and messages. */
class timed_run {
 public:
  explicit timed_run(const setting& s)
      : setting_(s), fleet_(s.daemons, Options(s), s.data_centres) {}

  cost Measure() {
    fleet_.Settle(10);
    const std::uint64_t writes = fleet_.store().writes();
    const std::uint64_t calls = fleet_.store().calls();
    // At one claim a second, a longer run is needed for enough claims.
    const int length = setting_.rate == 1 ? 4 * setting_.length_ms : setting_.length_ms;
    for (int ms = 0; ms < length + kDrainMs; ++ms) {
      if (ms < length && (ms * setting_.rate) / 1000 != ((ms + 1) * setting_.rate) / 1000)
        Claim(ms);
      Step(ms);
    }
    return Sum(writes, calls);
  }

 private:
  static claim_options Options(const setting& s) {
    claim_options options;
    options.layout.buckets = s.buckets;
    options.forward = s.forward;
    options.commit.archive_above = s.archive_above;
    options.commit.settle_delay = s.settle_delay;
    return options;
  }

  void Claim(int ms) {
    // 11 has no common divisor with the fleet sizes used here, so every daemon gets claims.
    const int daemon = (claims_ * 11) % setting_.daemons;
    const request_id request =
        fleet_.Claim(daemon, {"pay", "key-" + std::to_string(claims_)}, 1, seconds(10));
    started_[request] = ms;
    claims_ += 1;
  }

  void Step(int ms) {
    RunStore();
    for (std::size_t due = arriving_; due > 0; --due) fleet_.Deliver(0);
    fleet_.TickAll();
    arriving_ = fleet_.messages().size();
    for (int i = 0; i < fleet_.size(); ++i) TakeGranted(i, ms);
    while (!running_.empty() && running_.begin()->first <= ms) {
      const auto [daemon, request] = running_.begin()->second;
      running_.erase(running_.begin());
      fleet_.Finish(daemon, request);
    }
    fleet_.Advance(milliseconds(kPeerLatencyMs));
  }

  void TakeGranted(int daemon, int ms) {
    for (const request_id request : fleet_.at(daemon).granted) {
      times_.push_back(ms - started_[request]);
      running_.emplace(ms + kRunMs, std::make_pair(daemon, request));
    }
    fleet_.at(daemon).granted.clear();
  }

  void RunStore() {
    const time_point now = fleet_.at(0).clock.Now();
    auto& store = fleet_.store();
    for (const auto& waiting : store.waiting()) due_.emplace(waiting.id, now + kStoreLatency);
    for (std::size_t i = 0; i < store.waiting().size();) {
      if (now < due_[store.waiting()[i].id]) {
        ++i;
        continue;
      }
      due_.erase(store.waiting()[i].id);
      store.RunAt(i);
    }
  }

  cost Sum(std::uint64_t writes_before, std::uint64_t calls_before) {
    cost c;
    c.claims = claims_;
    c.granted = static_cast<int>(times_.size());
    const double n = std::max(1, claims_);
    const auto writes = static_cast<double>(fleet_.store().writes() - writes_before);
    c.writes = writes / n;
    c.reads = (static_cast<double>(fleet_.store().calls() - calls_before) - writes) / n;
    for (int i = 0; i < fleet_.size(); ++i) {
      metrics_registry& metrics = fleet_.at(i).metrics;
      c.conflicts += static_cast<double>(metrics.Counter("claim_conflicts").value()) / n;
      const std::uint64_t bytes = metrics.Counter("claim_commit_bytes").value() +
                                  metrics.Counter("claim_archive_bytes").value();
      c.kilobytes += static_cast<double>(bytes) / n / 1024;
    }
    std::sort(times_.begin(), times_.end());
    if (times_.empty()) return c;
    c.median_ms = times_[times_.size() / 2];
    c.slowest_ms = times_[times_.size() * 99 / 100];
    return c;
  }

  setting setting_;
  claim_fleet fleet_;
  int claims_ = 0;
  std::size_t arriving_ = 0;
  std::map<request_id, int> started_;
  std::multimap<int, std::pair<int, request_id>> running_;
  std::map<store_call_id, time_point> due_;
  std::vector<int> times_;
};

/** Returns the writes per claim if each claim is one object, created and then updated when done. */
double BaselineWrites(int claims) {
  class last_answer_listener : public store_listener {
   public:
    void OnStoreAnswer(store_call_id, const store_answer& answer) override { last = answer; }
    store_answer last;
  };
  fake_object_store store;
  fake_store_client client(store, 0);
  last_answer_listener listener;
  for (int i = 0; i < claims; ++i) {
    store_call call;
    call.operation = store_operation::kCreate;
    call.key = "claim/" + std::to_string(i);
    call.value = std::string(100, 'x');
    client.Submit(call, listener);
    store.RunAll();
    call.operation = store_operation::kUpdate;
    call.expected = listener.last.version;
    client.Submit(call, listener);
    store.RunAll();
  }
  return static_cast<double>(store.writes()) / claims;
}

void PrintHead() {
  std::printf(
      " rate daemons  buckets way        writes   reads conflicts  KB/claim  p50   p99 writes/s\n");
}

void Print(const setting& s, const cost& c) {
  std::printf("%5d %7d %8u %-9s %7.2f %7.2f %9.3f %8.1f %5d %5d %6.0f\n", s.rate, s.daemons,
              s.buckets, s.forward ? "forwarded" : "direct", c.writes, c.reads, c.conflicts,
              c.kilobytes, c.median_ms, c.slowest_ms, c.writes * s.rate);
}

TEST(ClaimRates, WritesAClaimByRateAndFleet) {
  const double baseline = BaselineWrites(100);
  std::printf("one object a claim: %.2f writes a claim, and one more to remove it\n", baseline);
  PrintHead();
  for (const int daemons : {1, 8, 20}) {
    for (const int rate : {1, 10, 100, 200}) {
      for (const std::uint32_t buckets : {4U, 16U, 64U}) {
        for (const bool forward : {true, false}) {
          setting s;
          s.rate = rate;
          s.daemons = daemons;
          s.forward = forward;
          s.buckets = buckets;
          const cost c = timed_run(s).Measure();
          Print(s, c);
          EXPECT_EQ(c.granted, c.claims);
          // The store takes a few hundred writes a second, which claims share with all other users.
          if (forward) {
            EXPECT_LE(c.writes, baseline);
          }
        }
      }
    }
  }
}

TEST(ClaimRates, DataCentresWithAnOwnerEach) {
  std::printf("forwarded within each data centre, two daemons in each; data centres first\n");
  PrintHead();
  for (const int data_centres : {3, 21}) {
    for (const int rate : {1, 10, 100, 200}) {
      for (const std::uint32_t buckets : {16U, 64U, 256U}) {
        setting s;
        s.rate = rate;
        s.daemons = 2 * data_centres;
        s.data_centres = data_centres;
        s.buckets = buckets;
        const cost c = timed_run(s).Measure();
        std::printf("%2d ", data_centres);
        Print(s, c);
        EXPECT_EQ(c.granted, c.claims);
      }
    }
  }
}

TEST(ClaimRates, SettlesThatWaitAreWrittenAlongWithClaims) {
  std::printf("by how long settles may wait: data centres, milliseconds\n");
  PrintHead();
  for (const int data_centres : {1, 3, 21}) {
    for (const int rate : {10, 200}) {
      for (const int delay_ms : {50, 250, 1000}) {
        setting s;
        s.rate = rate;
        s.daemons = 2 * data_centres;
        s.data_centres = data_centres;
        s.settle_delay = milliseconds(delay_ms);
        const cost c = timed_run(s).Measure();
        std::printf("%2d %4d ", data_centres, delay_ms);
        Print(s, c);
        EXPECT_EQ(c.granted, c.claims);
      }
    }
  }
}

TEST(ClaimRates, ArchiveBoundsWhatACommitWrites) {
  constexpr std::size_t kNever = 768 * 1024;
  std::printf(
      "half a minute at 200 claims a second, 8 daemons, by the size above which records move\n");
  PrintHead();
  double without = 0;
  double with = 0;
  for (const std::size_t above : {kNever, std::size_t{32768}, std::size_t{16384}}) {
    setting s;
    s.rate = 200;
    s.daemons = 8;
    s.length_ms = 30000;
    s.archive_above = above;
    const cost c = timed_run(s).Measure();
    std::printf("above %zu KiB\n", above / 1024);
    Print(s, c);
    EXPECT_EQ(c.granted, c.claims);
    if (above == kNever) without = c.kilobytes;
    if (above == claim_commit_limits().archive_above) with = c.kilobytes;
  }
  EXPECT_LT(with, without);
}

}  // namespace
}  // namespace hawthorndrum
