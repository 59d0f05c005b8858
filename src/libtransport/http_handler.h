/// Handles the requests of an HTTP server.
#pragma once

#include "base/http_message.h"
#include "base/ids.h"

namespace hawthorndrum {

/**
 * Handles requests. Answers are sent through the server's caller_port interface.
 */
class http_handler {
 public:
  virtual ~http_handler() = default;
  virtual void OnRequest(request_id request, http_request message) = 0;
  /** The caller closed its connection before its answer was complete. */
  virtual void OnCallerGone(request_id request) = 0;
};

}  // namespace hawthorndrum
