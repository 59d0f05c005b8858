/// Quality of load balancing with shared reports, compared with every daemon polling every engine
/// and with random choice; all in one run with the same arrivals.
#include <gtest/gtest.h>

#include <cstdio>
#include <numeric>
#include <random>

#include "fake_daemon_group.h"

namespace hawthorndrum {
namespace {

constexpr std::size_t kDaemons = 8;
constexpr int kEngines = 48;
/** Share of the engines' prefill capacity. */
constexpr double kUtilisation = 0.7;
constexpr double kPrefillRate = 8000;
constexpr double kMeanPrompt = 2000;
constexpr duration kRunTime = seconds(120);
/** Target: longest wait for the first token, relative to every daemon polling every engine. */
constexpr double kMaxRelativeWait = 1.10;

enum class report_source { kShared, kOwnPolls, kNone };

struct run_result {
  double mean_wait = 0;
  double p95_wait = 0;
  std::uint64_t polls = 0;
};

/** Prefill queues of the engines, each served at a fixed rate. */
class prefill_queues {
 public:
  explicit prefill_queues(fake_engines& engines) : engines_(engines) {}

  void Serve(double passed) {
    for (auto& [id, tokens] : waiting_) tokens = std::max(0.0, tokens - kPrefillRate * passed);
    for (auto& [id, report] : engines_.reports) {
      report.queued_prefill_tokens = static_cast<std::uint64_t>(waiting_[id]);
    }
  }
  /** Returns the seconds until the prompt has been prefilled. */
  double Add(upstream_id engine, double tokens) {
    waiting_[engine] += tokens;
    return waiting_[engine] / kPrefillRate;
  }

 private:
  fake_engines& engines_;
  std::map<upstream_id, double> waiting_;
};

class simulation {
 public:
  explicit simulation(report_source source) : source_(source), queues_(group_.engines) {
    for (std::size_t i = 0; i < kDaemons; ++i) group_.Start(DaemonAddress(i));
    group_.AdvanceUntil([&] { return group_.ViewsAgree(); }, seconds(30));
    group_.ListEngines(kEngines);
    group_.Advance(seconds(20));
  }

  run_result Run() {
    const std::uint64_t polls_before = Polls();
    group_.Advance(kRunTime, [&] { Tick(); });
    std::sort(waits_.begin(), waits_.end());
    run_result result;
    result.mean_wait =
        std::accumulate(waits_.begin(), waits_.end(), 0.0) / static_cast<double>(waits_.size());
    result.p95_wait = waits_[waits_.size() * 95 / 100];
    result.polls = Polls() - polls_before + own_polls_;
    return result;
  }

 private:
  std::uint64_t Polls() {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < kDaemons; ++i)
      sum += group_.at(i).Count("hawthorndrum_load_polls_total");
    return sum;
  }

  void Tick() {
    const double passed = ToSeconds(fake_daemon_group::kTick);
    queues_.Serve(passed);
    if (source_ == report_source::kOwnPolls) PollAll();
    const double rate = kUtilisation * kEngines * kPrefillRate / kMeanPrompt;
    std::poisson_distribution<int> arrivals(rate * passed);
    const int count = arrivals(random_);
    for (int i = 0; i < count; ++i) Arrive();
  }

  /** Every daemon polls every engine once a second, spread over the second. */
  void PollAll() {
    ++ticks_;
    const std::size_t ticks_a_second = seconds(1) / fake_daemon_group::kTick;
    for (std::size_t i = 0; i < kDaemons; ++i) {
      std::size_t index = 0;
      for (upstream& row : group_.at(i).upstreams) {
        if ((index++ + ticks_ + i) % ticks_a_second != 0) continue;
        row.report = group_.engines.reports[row.id];
        row.report_time = group_.time.Now();
        ++own_polls_;
      }
    }
  }

  void Arrive() {
    std::exponential_distribution<double> prompt(1 / kMeanPrompt);
    const double tokens = prompt(random_);
    const std::size_t daemon = random_() % kDaemons;
    upstream_table& table = group_.at(daemon).upstreams;
    upstream& one = *(table.begin() + static_cast<std::ptrdiff_t>(random_() % kEngines));
    upstream& other = *(table.begin() + static_cast<std::ptrdiff_t>(random_() % kEngines));
    upstream& chosen = Estimate(daemon, other) < Estimate(daemon, one) ? other : one;
    sent_[daemon].push_back({chosen.id, group_.time.Now(), tokens});
    waits_.push_back(queues_.Add(chosen.id, tokens));
  }

  /** Returns the queued tokens: last report, less tokens served since, plus tokens sent since. */
  double Estimate(std::size_t daemon, const upstream& row) {
    if (source_ == report_source::kNone) return 0;
    const double age = ToSeconds(group_.time.Now() - row.report_time);
    double tokens = static_cast<double>(row.report.queued_prefill_tokens) - kPrefillRate * age;
    tokens = std::max(0.0, tokens);
    std::vector<sent_prompt>& mine = sent_[daemon];
    mine.erase(std::remove_if(mine.begin(), mine.end(),
                              [&](const sent_prompt& prompt) {
                                return group_.time.Now() - prompt.at > seconds(4);
                              }),
               mine.end());
    for (const sent_prompt& prompt : mine) {
      if (prompt.engine != row.id || prompt.at <= row.report_time) continue;
      const double since = ToSeconds(group_.time.Now() - prompt.at);
      tokens += std::max(0.0, prompt.tokens - kPrefillRate * since);
    }
    return tokens;
  }

  struct sent_prompt {
    upstream_id engine;
    time_point at;
    double tokens = 0;
  };

  report_source source_;
  fake_daemon_group group_;
  prefill_queues queues_;
  std::mt19937_64 random_{20261203};
  std::map<std::size_t, std::vector<sent_prompt>> sent_;
  std::vector<double> waits_;
  std::uint64_t own_polls_ = 0;
  std::size_t ticks_ = 0;
};

void Print(const char* name, const run_result& result) {
  std::printf("%-28s mean %.3f s, p95 %.3f s, polls %llu\n", name, result.mean_wait,
              result.p95_wait, static_cast<unsigned long long>(result.polls));
}

/** Runs the three simulations once. */
struct routingquality : testing::Test {
  static void SetUpTestSuite() {
    shared = simulation(report_source::kShared).Run();
    own = simulation(report_source::kOwnPolls).Run();
    none = simulation(report_source::kNone).Run();
    Print("shared reports", shared);
    Print("each daemon polls all", own);
    Print("chosen at random", none);
    std::printf("shared against own polls: mean %.3f, p95 %.3f\n", shared.mean_wait / own.mean_wait,
                shared.p95_wait / own.p95_wait);
  }

  static inline run_result shared;
  static inline run_result own;
  static inline run_result none;
};

TEST_F(routingquality, SharedReportsBeatRandomChoiceAtAQuarterOfThePolls) {
  EXPECT_LT(shared.mean_wait, none.mean_wait);
  EXPECT_LT(shared.p95_wait, none.p95_wait);
  EXPECT_LT(shared.polls * 4, own.polls);
}

TEST_F(routingquality, SharedReportsAreAsGoodAsPollsByEveryone) {
  EXPECT_LE(shared.mean_wait, kMaxRelativeWait * own.mean_wait);
  EXPECT_LE(shared.p95_wait, kMaxRelativeWait * own.p95_wait);
}

}  // namespace
}  // namespace hawthorndrum
