/// The bounds that the order system keeps to.
#pragma once

#include <cstddef>

#include "base/units.h"

namespace hawthorndrum {

/**
 * `open_changes`: how many engines of a data centre are changed at once. `drain`: a change whose
 * engine is not empty after this is given up. `confirm`: a copy without an answer counts as lost
 * when the engine has not reported it after this. `gone`: how long a host must be off the host
 * list, or an engine out of the table, before it counts as gone.
 */
struct order_limits {
  std::size_t open_changes = 2;
  duration drain = seconds(300);
  duration confirm = seconds(20);
  duration gone = seconds(60);
  duration announce_every = seconds(2);
  duration poll_every = seconds(1);
  duration resend_after = seconds(1);
  duration query_every = seconds(2);
};

}  // namespace hawthorndrum
