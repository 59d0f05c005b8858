/// Limits, timeouts and intervals of the order system.
#pragma once

#include <cstddef>

#include "base/units.h"

namespace hawthorndrum {

/**
 * `open_changes`: how many engines of a data centre may be changed at once. `drain`: the timeout
 * after which a change whose engine is not drained is abandoned, unless it is journalled.
 * `confirm`: the timeout after which an unanswered copy counts as lost if the engine has not
 * reported the order. `gone`: how long a host must be off the host list, or an engine missing from
 * the table, before it counts as gone.
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
