/// The times that a lease keeps to.
#pragma once

#include "base/units.h"

namespace hawthorndrum {

/**
 * `length` is how long a lease is trusted; `margin` is taken off it at the holder, and covers
 * clocks that run at different speeds. `announce_every` is the pause between notices to peers.
 */
struct lease_timing {
  duration length = seconds(10);
  duration margin = seconds(1);
  duration announce_every = seconds(2);
  /** Set where the store never loses a record: one that is missing was never held. */
  bool take_missing_at_once = false;

  duration renew_after() const { return length / 4; }
  duration ask_every() const { return length / 3; }
};

}  // namespace hawthorndrum
