/// Whether this daemon can connect to an upstream.
#pragma once

#include "base/units.h"

namespace hawthorndrum {

/** Maintained by reachability_monitor in the upstream's row. */
struct reachability_state {
  /** The last attempt to connect failed; the upstream gets no requests. */
  bool is_lost = false;
  time_point lost_at;
  /** A probe is open. */
  bool probing = false;
  /** Consecutive failed probes. */
  int failed_probes = 0;
  time_point next_probe;
};

}  // namespace hawthorndrum
