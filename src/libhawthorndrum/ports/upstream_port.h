/// The port to the upstreams' request side.
#pragma once

#include <string_view>

#include "base/http_message.h"
#include "base/ids.h"

namespace hawthorndrum {

/**
 * Sends requests to upstreams. What becomes of each attempt comes back as attempt events.
 */
class upstream_port {
 public:
  virtual ~upstream_port() = default;
  /** Sends the request to `address` (`ip:port`). */
  virtual void Send(attempt_id attempt, std::string_view address, http_request request) = 0;
  /** Closes the attempt's connection; no further event of it is reported. */
  virtual void Cancel(attempt_id attempt) = 0;
};

}  // namespace hawthorndrum
