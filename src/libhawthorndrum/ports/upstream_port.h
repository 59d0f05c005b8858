/// The port through which requests are sent to upstreams.
#pragma once

#include <string_view>

#include "base/http_message.h"
#include "base/ids.h"

namespace hawthorndrum {

/**
 * Sends requests to upstreams. The outcome of each attempt is reported by attempt events.
 */
class upstream_port {
 public:
  virtual ~upstream_port() = default;
  /** Sends the request to `address` (`ip:port`). */
  virtual void Send(attempt_id attempt, std::string_view address, http_request request) = 0;
  /** Closes the attempt's connection; no further event of the attempt is reported. */
  virtual void Cancel(attempt_id attempt) = 0;
};

}  // namespace hawthorndrum
