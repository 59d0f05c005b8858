/// Handles the requests of an HTTP server.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/http_message.h"
#include "base/ids.h"

namespace hawthorndrum {

/**
 * Handles requests. Answers are sent through the server's caller_port interface.
 */
class http_handler {
 public:
  virtual ~http_handler() = default;
  /** Returns the answer to all requests from that IP address, unless they are to be handled. */
  virtual std::optional<http_answer> RefusalFor(std::string_view ip) { return std::nullopt; }
  virtual void OnRequest(request_id request, http_request message) = 0;
  /**
   * The request, of `bytes` as far as is known, was refused before it was read since the process
   * buffers too much. The handler may add to the refusal.
   */
  virtual void OnRefusedUnread(std::uint64_t bytes, http_answer& refusal) {}
  /** The caller closed its connection before its answer was complete. */
  virtual void OnCallerGone(request_id request) = 0;
};

}  // namespace hawthorndrum
