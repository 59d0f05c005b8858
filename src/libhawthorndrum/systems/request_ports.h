/// The external dependencies of the request path.
#pragma once

#include <string>

#include "base/ids.h"
#include "systems/spill_system.h"
#include "tables/upstream_table.h"

namespace hawthorndrum {

class caller_port;
class claim_gate;
class clock;
class config_view;
class demand_observer;
class metrics_registry;
class peer_port;
class random_source;
class trace_sink;
class upstream_port;

/**
 * The ports and tables of the request path, and this daemon's data centre and incarnation. Only
 * `peers` and `demand` may be null: without `peers`, suspects are not shared with other daemons;
 * without `demand`, requested work is not reported to an observer.
 */
struct request_ports {
  upstream_table* upstreams = nullptr;
  const config_view* config = nullptr;
  claim_gate* claims = nullptr;
  upstream_port* upstream = nullptr;
  caller_port* callers = nullptr;
  const clock* time = nullptr;
  random_source* random = nullptr;
  trace_sink* traces = nullptr;
  metrics_registry* metrics = nullptr;
  peer_port* peers = nullptr;
  demand_observer* demand = nullptr;
  std::string data_centre;
  spill_settings spill;
  incarnation_id incarnation;
};

}  // namespace hawthorndrum
