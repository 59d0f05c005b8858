/// Durations and intervals of a lease.
#pragma once

#include "base/units.h"

namespace hawthorndrum {

/**
 * `length` is how long a lease is valid; the holder subtracts `margin` from it, which covers
 * clocks that run at different speeds. `announce_every` is the interval between notices to peers.
 */
struct lease_timing {
  duration length = seconds(10);
  duration margin = seconds(1);
  duration announce_every = seconds(2);
  /** Set where the store loses records only with its era: a missing one was not held in it. */
  bool take_missing_at_once = false;

  duration renew_after() const { return length / 4; }
  duration poll_every() const { return length / 3; }
};

}  // namespace hawthorndrum
