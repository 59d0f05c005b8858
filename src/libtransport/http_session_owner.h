/// A connection's interface to the server that owns it.
#pragma once

#include <cstdint>

#include "base/http_message.h"
#include "base/ids.h"
#include "http_limits.h"

namespace hawthorndrum {

class http_session;

/**
 * Owns the connections and records which one each request arrived on.
 */
class http_session_owner {
 public:
  virtual ~http_session_owner() = default;
  virtual const http_limits& limits() const = 0;
  /** Registers a request and passes it to the handler. */
  virtual request_id OnSessionRequest(http_session& session, http_request request) = 0;
  /** Called when the request's answer is complete or its connection was closed (`gone`). */
  virtual void OnSessionDone(request_id request, bool gone) = 0;
  /** Called when a connection becomes idle or busy. An idle connection may be evicted. */
  virtual void OnSessionIdle(http_session& session, bool idle) = 0;
  virtual void OnSessionClosed(http_session& session) = 0;
  /** Returns the answer to a request, of `bytes` as far as is known, that is not read. */
  virtual http_answer OnSessionFull(std::uint64_t bytes) = 0;
  /** Called when a connection violated HTTP or a limit. */
  virtual void OnSessionRejected(int status) = 0;
};

}  // namespace hawthorndrum
