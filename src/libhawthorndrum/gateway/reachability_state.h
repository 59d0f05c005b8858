/// Whether this daemon can connect to an upstream.
#pragma once

#include <optional>

#include "base/units.h"

namespace hawthorndrum {

/** Maintained by reachability_monitor and cut_off_detector in the upstream's row. */
struct reachability_state {
  /** An attempt to connect failed and nothing was heard since; the upstream gets no requests. */
  bool is_lost = false;
  time_point lost_at;
  /** A probe is open. */
  bool probing = false;
  /** Consecutive failed probes. */
  int failed_probes = 0;
  time_point next_probe;
  /** When a new connection was last opened, and when an attempt last failed. */
  time_point connected_at;
  time_point refused_at;
  /** The first of the failed attempts since then. */
  std::optional<time_point> refused_since;
};

}  // namespace hawthorndrum
