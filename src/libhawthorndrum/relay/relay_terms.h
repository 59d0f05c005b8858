/// The terms on which a daemon passes a request on to another one.
#pragma once

#include <string>

#include "base/ids.h"
#include "base/units.h"

namespace hawthorndrum {

struct relay_terms {
  /** The host that passes the request on. */
  std::string host;
  duration time_left{0};
  /** Calls to upstreams that the request has used up, and that may have run. */
  int runs = 0;
  /** Whether the retries that the request earns were counted by that host. */
  bool earned = false;
  /** The build at which the stream began; none unless the request resumes one. */
  software_build build;
  /** The last event that the caller has; empty unless the request resumes a stream. */
  std::string last_event_id;
  /** The team whose key that host has checked; empty if the request runs for none. */
  std::string team;
};

}  // namespace hawthorndrum
