/// Measures the goodput of daemons and engines under a mix of requests, in fake time.
#pragma once

#include <cmath>
#include <string>
#include <unordered_map>
#include <vector>

#include "fake_fleet.h"

namespace hawthorndrum {

/** The routing policy. kRoundRobin and kLeastOutstanding have no admission control. */
enum class policy { kHawthorndrum, kRoundRobin, kLeastOutstanding };

/** One kind of request in the mix. */
struct request_class {
  const char* service;
  double share;
  int priority;
  duration useful_within;
  std::uint64_t prompt_tokens;
  std::uint64_t output_tokens;
};

/** Phone callers, the dispatch desk, and digests, which are not urgent. */
inline std::vector<request_class> DayMix() {
  return {{"phone", 0.3, 9, seconds(2), 200, 16},
          {"desk", 0.5, 5, seconds(8), 2000, 64},
          {"digest", 0.2, 1, seconds(240), 4000, 128}};
}

/** One class of request only, so that no other class can take its capacity. */
inline std::vector<request_class> DeskOnly() { return {{"desk", 1, 5, seconds(8), 2000, 64}}; }

struct class_result {
  int offered = 0;
  int useful = 0;
  /** Useful answers that were received while requests still arrived. */
  int useful_in_time = 0;
  int late = 0;
  int refused = 0;
  /** Refusals with any outcome but not_run. */
  int wrong_outcome = 0;
  /** Refusals that took longer than a tenth of the useful time. */
  int slow_refusals = 0;
  /** The longest time until a refusal. */
  duration slowest_refusal{0};
};

struct goodput_result {
  std::vector<class_result> by_class;

  int Useful() const {
    int sum = 0;
    for (const class_result& one : by_class) sum += one.useful_in_time;
    return sum;
  }
  int Late() const {
    int sum = 0;
    for (const class_result& one : by_class) sum += one.late;
    return sum;
  }
  int Offered() const {
    int sum = 0;
    for (const class_result& one : by_class) sum += one.offered;
    return sum;
  }
};

/**
 * One run: requests arrive at `load` times the highest rate that the engines can carry, for
 * kArrivalTime; then they have kDrainTime to finish.
 */
class goodput_run {
 public:
  static constexpr duration kArrivalTime = seconds(40);
  static constexpr duration kDrainTime = seconds(250);

  goodput_run(policy decides, std::vector<request_class> mix, int daemons, int engines,
              duration lag)
      : policy_(decides),
        mix_(std::move(mix)),
        fleet_(daemons, engines, lag),
        random_(99),
        daemon_random_(7) {
    result_.by_class.resize(mix_.size());
    for (const request_class& kind : mix_) {
      service_config service;
      service.name = kind.service;
      service.model = {"m", "1", ""};
      service.priority = kind.priority;
      service.useful_within = kind.useful_within;
      service.longest_deadline = kind.useful_within * 2;
      service.limits = {100000, 1e9, 100000, 100000, 4096};
      fleet_.Publish(service);
    }
    for (std::size_t i = 0; i < fleet_.daemons.size(); ++i) {
      fleet_.daemons[i]->callers.on_ended = [this](request_id id, const caller_record& record) {
        OnAnswerEnded(id, record);
      };
    }
  }

  goodput_result Run(double load) {
    // The requests per second of the mix that one fake engine can carry at its peak.
    const double engine_rate = mix_.size() == 1 ? 3.1 : 5.5;
    rate_ = load * engine_rate * static_cast<double>(fleet_.engines.size());
    end_ = fleet_.events.now() + kArrivalTime;
    Arrive();
    fleet_.RunFor(kArrivalTime + kDrainTime);
    return result_;
  }

  /** Returns the runs of the busiest engine as a multiple of an even share. */
  double Unevenness() const {
    int sum = 0;
    int most = 0;
    for (const auto& engine : fleet_.engines) {
      sum += engine->runs;
      most = std::max(most, engine->runs);
    }
    return static_cast<double>(most) * static_cast<double>(fleet_.engines.size()) / sum;
  }

 private:
  struct open_request {
    std::size_t kind = 0;
    time_point arrived;
  };

  void Arrive() {
    if (fleet_.events.now() >= end_) return;
    double draw = random_.Fraction();
    std::size_t kind = 0;
    while (kind + 1 < mix_.size() && draw >= mix_[kind].share) draw -= mix_[kind++].share;
    result_.by_class[kind].offered += 1;
    const std::string body = fake_fleet::Body("n" + std::to_string(++last_),
                                              mix_[kind].prompt_tokens, mix_[kind].output_tokens);
    if (policy_ == policy::kHawthorndrum) {
      SendToDaemon(kind, body);
    } else {
      SendToEngine(kind, body);
    }
    const double gap = -std::log(1 - random_.Fraction()) / rate_;
    const std::chrono::duration<double> wait(gap);
    fleet_.events.After(std::chrono::duration_cast<duration>(wait), [this] { Arrive(); });
  }

  void SendToDaemon(std::size_t kind, const std::string& body) {
    const std::size_t daemon = daemon_random_.Below(fleet_.daemons.size());
    const request_id expected(fleet_.daemons[daemon]->last_request + 1);
    open_[expected] = {kind, fleet_.events.now()};
    fleet_.Post(daemon, mix_[kind].service, body);
  }

  void OnAnswerEnded(request_id id, const caller_record& record) {
    const auto found = open_.find(id);
    if (found == open_.end()) return;
    const duration took = fleet_.events.now() - found->second.arrived;
    class_result& result = result_.by_class[found->second.kind];
    if (!record.LooksComplete()) {
      result.refused += 1;
      result.wrong_outcome += record.body.find("\"outcome\":\"not_run\"") == std::string::npos;
      result.slow_refusals += took * 10 > mix_[found->second.kind].useful_within;
      result.slowest_refusal = std::max(result.slowest_refusal, took);
    } else {
      Count(found->second.kind, took);
    }
    open_.erase(found);
  }

  void Count(std::size_t kind, duration took) {
    class_result& result = result_.by_class[kind];
    if (took > mix_[kind].useful_within) {
      result.late += 1;
      return;
    }
    result.useful += 1;
    result.useful_in_time += fleet_.events.now() <= end_;
  }

  /** Sends the request straight to an engine, chosen without load reports. */
  void SendToEngine(std::size_t kind, const std::string& body) {
    std::size_t best = next_++ % fleet_.engines.size();
    if (policy_ == policy::kLeastOutstanding) {
      for (std::size_t i = 0; i < fleet_.engines.size(); ++i) {
        if (fleet_.engines[i]->jobs() < fleet_.engines[best]->jobs()) best = i;
      }
    }
    sent_attempt sent{attempt_id(last_),
                      {},
                      {"POST", "/", {{"X-Priority", std::to_string(mix_[kind].priority)}}, body}};
    const time_point arrived = fleet_.events.now();
    engine_listener listener;
    listener.head = [](const attempt_head&) {};
    listener.bytes = [](const attempt_bytes&) {};
    listener.lost = [](const attempt_lost&) {};
    listener.finished = [this, kind, arrived](const attempt_finished&) {
      Count(kind, fleet_.events.now() - arrived);
    };
    fleet_.engines[best]->Take(sent, std::move(listener));
  }

  policy policy_;
  std::vector<request_class> mix_;
  fake_fleet fleet_;
  /** Draws the arrivals: the same for each policy. */
  fake_random_source random_;
  fake_random_source daemon_random_;
  double rate_ = 0;
  time_point end_;
  std::uint64_t last_ = 0;
  std::size_t next_ = 0;
  std::unordered_map<request_id, open_request> open_;
  goodput_result result_;
};

}  // namespace hawthorndrum
