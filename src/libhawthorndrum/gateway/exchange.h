/// The state of one caller's request in the gateway.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/http_message.h"
#include "base/ids.h"
#include "base/units.h"
#include "crashes/suspect.h"
#include "gateway/event_splitter.h"
#include "gateway/fleet_upstream.h"
#include "gateway/gateway_config.h"
#include "gateway/wire_dialect.h"
#include "relay/relay_answer.h"

namespace hawthorndrum {

enum class exchange_state {
  /** An engine prefills the prompt; another engine will decode. */
  kPrefilling,
  /** An upstream runs the request. */
  kRunning,
  /** The request was moved from a silent upstream and waits until another one takes it. */
  kWaiting,
  /** Another daemon serves the request, since this one reaches no upstream. */
  kPassedOn,
};

/** The part of an upstream's answer that has been received. */
struct upstream_answer {
  answer_terms terms;
  /** What the daemon says that the request was passed on to. */
  relay_answer relayed;
  std::vector<http_header> headers;
  std::string body;
};

/** One call to an upstream, and the capacity reserved for it there. */
struct exchange_call {
  attempt_id attempt;
  upstream_id upstream;
  /** The upstream's build. */
  software_build build;
  upstream_work reserved;
  time_point sent_at;
  /** When it last brought an event, or bytes of a plain answer. */
  time_point progress_at;
  /** Whether bytes have arrived since then that complete no event. */
  bool has_part = false;
  /** The upstream counts as stalled after this time without a sign of life. */
  duration stall_timeout{0};
  /** When the call is next checked for a stall; a stalled call may move to another upstream. */
  time_point stalls_at;
  /** Whether its answer is not read, since the caller reads slowly. */
  bool paused = false;
  /** Whether the call stalled and goes on because it could not move. */
  bool stalled = false;
  /** Prompt tokens to prefill before the first output token, other requests' tokens included. */
  std::uint64_t queued_tokens = 0;
  /** Bytes of the answer that have arrived. */
  std::uint64_t answer_bytes = 0;
  bool head_seen = false;
  bool first_byte_seen = false;
  time_point first_byte_at;
  /** Whether the answer had neither a length nor chunks and ended with its connection. */
  bool ended_by_close = false;
  /** Whether its upstream has lived on after the answer began. */
  bool lived_on = false;
};

/**
 * Invariants: exactly one call is open (`call`), or none while waiting; a call to another daemon
 * has no upstream; a request that another daemon passed on is never passed on again; `head_sent` is
 * set for streams only; after `head_sent` the caller receives one continuous series of events,
 * whichever upstreams send them.
 */
struct exchange {
  /** Minimum time left for another attempt. */
  static constexpr duration kMinTimeForAttempt = milliseconds(30);
  /** Engines that may be asked to prefill a prompt for another one. */
  static constexpr int kMaxPrefills = 2;

  request_id id;
  http_request request;
  caller_terms terms;
  /** The caller's team; empty where callers need no key. */
  std::string team;
  /** Whether it comes after others of its priority, since its team asks for more than its share. */
  bool is_behind_others = false;
  /** The team's priority, else the route's; 0 is the most urgent. */
  int priority = 0;
  /** Owns `matched` and `service`, so that they outlive a change of configuration. */
  std::shared_ptr<const gateway_config> config;
  const route* matched = nullptr;
  const gateway_service* service = nullptr;
  /** The shared parts of its prompt and the request itself, which may crash upstreams. */
  std::vector<suspect> suspects;
  /** Names the stream to other daemons; the same for all attempts that resume it. */
  stream_key key;
  /** The build whose events the caller has; none before the first event of a new stream. */
  software_build build;
  time_point arrived;
  /** The earlier of the caller's and the route's timeout; the request ends then, and not before. */
  time_point deadline;

  exchange_state state = exchange_state::kRunning;
  exchange_call call;
  upstream_answer answer;
  /** The KV cache of the prefilled prompt, until the decoding engine has taken it. */
  std::optional<kv_handle> handle;
  /** The engine that prefilled the prompt. */
  upstream_id prefilled_by;
  bool sent_to_prefill = false;
  /** Whether an upstream began to run it; another run is no further request. */
  bool began = false;

  /** Upstreams that the request was sent to, including those that refused it. */
  std::vector<upstream_id> tried;
  /** Calls that may have run. */
  int runs = 0;
  int refusals = 0;
  /** Calls that failed to connect to their upstream. */
  int failed_connections = 0;
  /** Failed attempts to prefill the prompt on a separate engine. */
  int failed_prefills = 0;
  bool may_split = true;
  /** Whether a silent call was abandoned; its upstream might have gone on. */
  bool moved = false;

  bool head_sent = false;
  event_splitter events;
  time_point first_event_at;
  time_point last_event_at;
  /** The longest time between two events that were forwarded to the caller. */
  duration longest_pause{0};
  bool caller_gone = false;

  /** Whether another daemon passed the request on to this one. */
  bool from_peer = false;
  /** Whether the retries that the request earns were counted, here or by that daemon. */
  bool earned = false;
  /** The hosts of the daemons that this one passed it on to; the last one serves it or declined. */
  std::vector<std::string> passed_to;

  bool is_engine() const { return service->is_engine && terms.asked.has_value(); }
  bool is_stream() const { return matched->kind == route_kind::kStream; }
  duration TimeLeft(time_point now) const { return deadline - now; }
};

}  // namespace hawthorndrum
