/// Upstreams of a service that all asked for time without requests.
#pragma once

#include <optional>

#include "base/units.h"
#include "gateway/placement.h"

namespace hawthorndrum {

class fleet_table;

/**
 * Returns when the first upstream wants requests again; nothing unless all that could take the
 * request have asked for time.
 */
std::optional<time_point> EarliestWanted(fleet_table& fleet, const placement_query& query,
                                         time_point now);

}  // namespace hawthorndrum
