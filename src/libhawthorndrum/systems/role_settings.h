/// Settings of the role and placement planning.
#pragma once

#include "base/units.h"
#include "systems/placement_planner.h"
#include "systems/role_planner.h"

namespace hawthorndrum {

/**
 * `load_pause` is the minimum time between two loads from the weight store in a data centre.
 */
struct role_settings {
  role_prices prices;
  placement_prices placement;
  duration plan_every = seconds(2);
  duration load_pause = seconds(30);
};

}  // namespace hawthorndrum
