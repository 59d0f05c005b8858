/// This daemon's rate of prompt tokens to prefill, per service.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

/** A service's prefill demand and speed, as one or several daemons report them. */
struct reported_demand {
  std::string service;
  std::uint64_t prefill_tokens_per_second = 0;
  /** Sum of the observed speeds of prefill engines in tokens per second, and their number. */
  std::uint64_t speed_sum = 0;
  std::uint64_t speed_count = 0;
};

/**
 * Moving averages of the tokens that requests needed prefilled. The time constant is about that of
 * an engine's change of stage: shorter bursts are over before an engine has followed them.
 */
class demand_meter {
 public:
  void AddPrefill(const std::string& service, std::uint64_t tokens, time_point now);
  std::uint64_t PrefillTokensPerSecond(const std::string& service, time_point now) const;
  /** Returns the demand of all services that have any. */
  std::vector<reported_demand> Report(time_point now) const;

 private:
  struct average {
    /** Tokens, decayed to `at`. */
    double tokens = 0;
    time_point at;
  };
  static double DecayedTokens(const average& of, time_point now);

  std::unordered_map<std::string, average> by_service_;
};

}  // namespace hawthorndrum
