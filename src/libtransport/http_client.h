/// HTTP/1.1 client built on Boost.Beast that passes answers on as they arrive.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http_call.h"
#include "ports/attempt_event.h"

namespace boost::asio {
class io_context;
}

namespace hawthorndrum {

class http_call_listener;

/**
 * Makes calls and keeps idle connections for calls that may reuse one.
 */
class http_client {
 public:
  using probe_handler = std::function<void(std::optional<attempt_failure> failure)>;

  explicit http_client(boost::asio::io_context& io);
  ~http_client();

  /** Starts a call. The listener must outlive it, or the call must be cancelled before. */
  http_call_id Start(http_call call, http_call_listener& listener);
  /** Closes the call's connection. Its listener is not called any more. */
  void Cancel(http_call_id id);
  /** Stops reading the answer of the call after what has arrived, or goes on. */
  void SetPaused(http_call_id id, bool paused);
  /**
   * Opens a connection without making a call and keeps it for calls with that owner. `done` is
   * called with the failure, if any, never from within Probe.
   */
  void Probe(const std::string& address, std::uint64_t owner, duration timeout, probe_handler done);
  std::size_t open_calls() const;
  /** Closes idle connections that can't be reused any more; call it about once a second. */
  void Sweep();

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace hawthorndrum
