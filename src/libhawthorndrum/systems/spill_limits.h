/// Limits on requests that spill between data centres: a small share of the service's own.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/units.h"
#include "systems/token_bucket.h"
#include "tables/service_config.h"

namespace hawthorndrum {

/**
 * Limits each key to 1/kShare of the service's rate and concurrency. Every successful Take must be
 * followed by one Release.
 */
class spill_limits {
 public:
  static constexpr std::uint32_t kShare = 16;

  /**
   * Takes a slot if the rate and the concurrency allow it and the key is not avoided. `trust` is
   * the part of the rate that may be used, from 0 to 1.
   */
  bool Take(const std::string& key, const service_limits& limits, double trust, time_point now);
  void Release(const std::string& key);
  /** Refuses the key until `until`. */
  void Avoid(const std::string& key, time_point until);
  /** Removes keys that have long been idle. */
  void Run(time_point now);

 private:
  struct share {
    token_bucket rate{0, 1};
    std::uint32_t open = 0;
    time_point avoid_until;
    time_point last_used;
  };

  std::unordered_map<std::string, share> shares_;
  time_point last_sweep_;
};

}  // namespace hawthorndrum
