/// The gateway's dependencies.
#pragma once

#include <memory>
#include <string>

#include "base/ids.h"
#include "crossing/crossing_terms.h"
#include "flow/flow_limits.h"
#include "gateway/retry_allowance.h"

namespace hawthorndrum {

class byte_budget;
class caller_port;
class clock;
class crash_evidence;
class event_log;
class metrics_registry;
class random_source;
class stream_origins;
class upstream_calls;
class usage_meter;
class wire_dialect;

/** All pointers are set unless said otherwise, and outlive the gateway. */
struct gateway_ports {
  caller_port* callers = nullptr;
  upstream_calls* upstreams = nullptr;
  const wire_dialect* dialect = nullptr;
  const clock* time = nullptr;
  random_source* random = nullptr;
  event_log* log = nullptr;
  metrics_registry* metrics = nullptr;
  stream_origins* origins = nullptr;
  crash_evidence* crashes = nullptr;
  /** Null where usage is not counted. */
  usage_meter* usage = nullptr;
  std::string host;
  std::string data_centre;
  incarnation_id incarnation;
  retry_limits retries;
  flow_limits flow;
  /** What the caller port's connections count in as well; null if they count nothing. */
  std::shared_ptr<byte_budget> budget;
  crossing_terms crossing;
};

}  // namespace hawthorndrum
