/// Whether this daemon can connect to an upstream.
#pragma once

#include "base/units.h"

namespace hawthorndrum {

/** Kept by reach_keeper in the upstream's row. */
struct reach_state {
  /** No connection could be made since; no request goes there. */
  bool is_lost = false;
  time_point lost_at;
  /** A connection is being tried without a request. */
  bool probing = false;
  /** Probes that failed in a row. */
  int failed_probes = 0;
  time_point next_probe;
};

}  // namespace hawthorndrum
