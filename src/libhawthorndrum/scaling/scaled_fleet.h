/// What the ordering of upstreams needs to know of the services.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/units.h"
#include "scaling/demand_history.h"
#include "scaling/scale_limits.h"

namespace hawthorndrum {

/** The upstreams of a data centre that take work, by kind. */
struct centre_counts {
  std::string name;
  std::uint32_t lasting = 0;
  std::uint32_t reclaimable = 0;
};

struct scaled_service {
  std::string name;
  scale_limits limits;
  /** In the order of their names; a data centre whose upstreams all leave is included. */
  std::vector<centre_counts> centres;
  service_load load;
};

class scaled_fleet {
 public:
  virtual ~scaled_fleet() = default;
  /** Returns the services whose number of upstreams follows the demand. */
  virtual std::vector<scaled_service> Services(time_point now) = 0;
  /** Whether the host list and the load are those of the whole fleet, as far as is known. */
  virtual bool IsComplete(time_point now) const = 0;
};

}  // namespace hawthorndrum
