/// Who takes the requests of an HTTP server.
#pragma once

#include "base/http_message.h"
#include "base/ids.h"

namespace hawthorndrum {

/**
 * Takes requests; answers go through the server's caller_port methods.
 */
class http_handler {
 public:
  virtual ~http_handler() = default;
  virtual void OnRequest(request_id request, http_request message) = 0;
  /** The caller closed its connection before its answer was complete. */
  virtual void OnCallerGone(request_id request) = 0;
};

}  // namespace hawthorndrum
