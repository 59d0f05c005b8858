/// Upstreams of a service that all want no requests now.
#pragma once

#include <optional>

#include "base/ids.h"
#include "base/units.h"
#include "gateway/placement.h"

namespace hawthorndrum {

class fleet_table;

/** An upstream that asked for time or is at its limit, and when it gets requests again. */
struct wanted_upstream {
  upstream_id id;
  time_point at;
};

/**
 * Returns which upstream first wants requests again; nothing unless all that could take the request
 * have asked for time or are at their limits.
 */
std::optional<wanted_upstream> EarliestWanted(fleet_table& fleet, const placement_query& query,
                                              time_point now);

}  // namespace hawthorndrum
