/// Small shares of a service's limits, for work that crosses between data centres.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/units.h"
#include "systems/token_bucket.h"
#include "tables/service_config.h"

namespace hawthorndrum {

/**
 * For each key a rate and a concurrency that are 1/kShare of the service's own. Every Take that
 * succeeds is followed by one Release.
 */
class spill_limits {
 public:
  static constexpr std::uint32_t kShare = 16;

  /** Takes a place if rate and concurrency allow it and the key is not being avoided. */
  bool Take(const std::string& key, const service_limits& limits, time_point now);
  void Release(const std::string& key);
  /** Nothing is taken for the key until then. */
  void Avoid(const std::string& key, time_point until);
  /** Forgets keys that have been idle long. */
  void Run(time_point now);

 private:
  struct share {
    token_bucket rate{0, 1};
    std::uint32_t open = 0;
    time_point avoid_until;
    time_point used;
  };

  std::unordered_map<std::string, share> shares_;
  time_point swept_;
};

}  // namespace hawthorndrum
