/// How many upstreams of a service may be ordered, and what they cost.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/units.h"

namespace hawthorndrum {

/**
 * Invariant: min is at most max.
 */
struct scale_limits {
  /** Bounds for each data centre, for both kinds of upstreams together. */
  std::uint32_t min = 0;
  std::uint32_t max = 0;
  /** From the order until a new upstream serves. */
  duration start_time{0};
  /** The price of an upstream that may be reclaimed, as a share of that of another one. */
  double reclaimable_price = 1;
  /** The price of an upstream in each data centre, relative to each other. */
  std::map<std::string, double> prices;
};

}  // namespace hawthorndrum
