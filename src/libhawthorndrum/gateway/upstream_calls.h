/// The port through which the gateway calls upstreams.
#pragma once

#include <string>

#include "base/http_message.h"
#include "base/ids.h"
#include "base/units.h"

namespace hawthorndrum {

/** One call to an upstream. */
struct upstream_call {
  attempt_id attempt;
  /** `ip:port`. */
  std::string address;
  /** Connections are pooled per instance of an upstream. */
  upstream_id upstream;
  http_request request;
  /** The request id that the answer must carry; other answers are ignored. */
  std::string caller_id;
  /** Whether all its answers carry it, also refusals. */
  bool answers_carry_id = true;
  /** A pooled connection that was idle for longer is not reused. */
  duration longest_idle{0};
};

/**
 * Sends calls and reports their progress as attempt events. Never sends a call twice.
 */
class upstream_calls {
 public:
  virtual ~upstream_calls() = default;
  virtual void Send(upstream_call call) = 0;
  /** Closes the call's connection; no further event of it is reported. */
  virtual void Cancel(attempt_id attempt) = 0;
  /** Stops reading the call's answer, or goes on; what has arrived is still reported. */
  virtual void SetPaused(attempt_id, bool) {}
  /** Opens a connection without a request; `probe_ended` reports whether it succeeded. */
  virtual void Probe(upstream_id upstream, const std::string& address) = 0;
  /** Sends a call and ignores the answer. */
  virtual void Notify(const std::string& address, http_request request) = 0;
};

}  // namespace hawthorndrum
