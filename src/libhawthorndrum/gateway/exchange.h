/// One caller's request on its way through the gateway.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/http_message.h"
#include "base/ids.h"
#include "base/units.h"
#include "gateway/event_cutter.h"
#include "gateway/fleet_upstream.h"
#include "gateway/gateway_config.h"
#include "gateway/wire_dialect.h"

namespace hawthorndrum {

enum class exchange_state {
  /** An engine reads the prompt for another one. */
  kReading,
  /** An upstream has the request. */
  kRunning,
};

/** What came back from an upstream so far. */
struct upstream_answer {
  answer_terms terms;
  std::vector<http_header> headers;
  std::string body;
};

/** One call to an upstream, and what it holds of the upstream's room. */
struct exchange_call {
  attempt_id attempt;
  upstream_id upstream;
  upstream_work booked;
  time_point sent_at;
  /** The upstream may be silent for so long without being taken for stalled. */
  duration patience{0};
  /** When it is given up as stalled, if another upstream may take over. */
  time_point stalls_at;
  /** Tokens that the engine had to read before the first one came, those of others included. */
  std::uint64_t queued_tokens = 0;
  bool head_seen = false;
  bool first_byte_seen = false;
};

/**
 * Invariants: exactly one call is open (`call`); `head_sent` only for streams; after `head_sent`
 * the caller gets the bytes of one series of events, whoever makes them.
 */
struct exchange {
  request_id id;
  http_request request;
  caller_terms terms;
  /** Keeps `matched` and `service` alive while newer configurations come. */
  std::shared_ptr<const gateway_config> config;
  const route* matched = nullptr;
  const gateway_service* service = nullptr;
  std::uint64_t fingerprint = 0;
  time_point arrived;
  /** The caller has its final answer by then. */
  time_point deadline;

  exchange_state state = exchange_state::kRunning;
  exchange_call call;
  upstream_answer answer;
  /** The prompt as an engine read it, until another one has taken it. */
  std::optional<kv_handle> handle;
  /** The engine that read it. */
  upstream_id read_by;
  bool sent_to_read = false;

  /** Upstreams that the request was sent to, those that refused included. */
  std::vector<upstream_id> tried;
  /** Calls that may have run. */
  int runs = 0;
  int refusals = 0;
  /** Calls that did not reach their upstream. */
  int unreached = 0;
  /** Engines that failed to read the prompt for another one. */
  int readings = 0;
  bool may_split = true;

  bool head_sent = false;
  event_cutter events;
  time_point first_event_at;
  time_point last_event_at;
  /** Between two events that were handed on. */
  duration longest_pause{0};
  bool caller_gone = false;

  bool is_engine() const { return service->is_engine && terms.asked.has_value(); }
  bool is_stream() const { return matched->kind == route_kind::kStream; }
  duration TimeLeft(time_point now) const { return deadline - now; }
};

}  // namespace hawthorndrum
