/// Tells whether the upstreams of a service are being exchanged.
#pragma once

#include <cstddef>
#include <string_view>

#include "base/units.h"

namespace hawthorndrum {

/** How many there will be, of each kind. */
struct planned_fleet {
  std::size_t lasting = 0;
  std::size_t reclaimable = 0;
};

class fleet_outlook {
 public:
  virtual ~fleet_outlook() = default;
  /** Whether upstreams that were ordered are starting, or some are going. */
  virtual bool IsChanging(std::string_view service, time_point now) const = 0;
  /** Returns what was ordered, once the orders are those of the plan; zeros before. */
  virtual planned_fleet Planned(std::string_view service) const = 0;
};

}  // namespace hawthorndrum
