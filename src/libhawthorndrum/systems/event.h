/// The external events that a daemon handles.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/http_message.h"
#include "base/ids.h"
#include "duties/duty_listener.h"
#include "ports/attempt_event.h"
#include "ports/engine_order.h"
#include "ports/host_entry.h"
#include "ports/load_report.h"
#include "ports/store_call.h"

namespace hawthorndrum {

class order_listener;
class store_listener;

/** A complete request arrived on the callers' port, or on the port for other daemons. */
struct request_arrived {
  request_id request;
  http_request message;
  /** Another daemon passed the request on; it arrived on the port for daemons. */
  bool from_peer = false;
};

/** A caller closed its connection before its answer was complete. */
struct caller_gone {
  request_id request;
};

/** A store call ended; its listener is notified. */
struct store_answered {
  store_call_id call;
  store_answer answer;
  store_listener* listener = nullptr;
};

/** An order ended; its listener is notified. */
struct order_answered {
  order_answer answer;
  order_listener* listener = nullptr;
};

/** A call to the platform's API ended; its listener is notified. */
struct duty_answered {
  duty_call_id call;
  duty_outcome outcome = duty_outcome::kUnknown;
  duty_listener* listener = nullptr;
};

/** An engine reported its load. */
struct load_reported {
  load_report report;
};

/** An engine's load could not be polled. */
struct load_failed {
  upstream_id upstream;
};

/** The platform's host list was read. */
struct hosts_listed {
  std::vector<host_entry> hosts;
};

using event =
    std::variant<request_arrived, caller_gone, attempt_connected, attempt_head, attempt_bytes,
                 attempt_finished, attempt_lost, probe_ended, store_answered, order_answered,
                 duty_answered, load_reported, load_failed, hosts_listed>;

}  // namespace hawthorndrum
