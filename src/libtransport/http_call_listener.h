/// Receives the progress and outcome of an HTTP call.
#pragma once

#include <string>
#include <vector>

#include "base/http_message.h"
#include "http_call.h"
#include "ports/attempt_event.h"

namespace hawthorndrum {

/**
 * Receives OnConnected if a connection is opened, OnHead, any number of OnBody calls and then
 * OnFinished, or OnLost at any point. Never called from within Start or Cancel.
 */
class http_call_listener {
 public:
  virtual ~http_call_listener() = default;
  /** A new connection was opened for the call; not called if an open one is reused. */
  virtual void OnConnected(http_call_id id) {}
  virtual void OnHead(http_call_id id, int status, std::vector<http_header> headers) = 0;
  virtual void OnBody(http_call_id id, std::string bytes) = 0;
  virtual void OnFinished(http_call_id id) = 0;
  /** Called instead for an answer without a length or chunks, which ends with its connection. */
  virtual void OnFinishedByClose(http_call_id id) { OnFinished(id); }
  /** `bytes_sent` is false only when no byte of the request can have left this host. */
  virtual void OnLost(http_call_id id, attempt_failure failure, bool bytes_sent) = 0;
};

}  // namespace hawthorndrum
