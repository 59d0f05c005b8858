/// What a connection needs of the server that it belongs to.
#pragma once

#include "base/http_message.h"
#include "base/ids.h"
#include "http_limits.h"

namespace hawthorndrum {

class http_session;

/**
 * Keeps the connections and knows which one each request came on.
 */
class http_session_owner {
 public:
  virtual ~http_session_owner() = default;
  virtual const http_limits& limits() const = 0;
  /** Registers a request and hands it to the handler. */
  virtual request_id OnSessionRequest(http_session& session, http_request request) = 0;
  /** The request's answer is complete, or its connection is closed (`gone`). */
  virtual void OnSessionDone(request_id request, bool gone) = 0;
  /** Between two requests a connection is idle, and may be closed to make room. */
  virtual void OnSessionIdle(http_session& session, bool idle) = 0;
  virtual void OnSessionClosed(http_session& session) = 0;
  /** A connection broke HTTP or a limit. */
  virtual void OnSessionRejected(int status) = 0;
};

}  // namespace hawthorndrum
