/// One connection of the HTTP server.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/http_message.h"

namespace hawthorndrum {

/**
 * The server's interface to a connection, with or without TLS.
 */
class http_session {
 public:
  virtual ~http_session() = default;
  virtual void Start() = 0;
  virtual void Answer(http_answer answer) = 0;
  virtual void Begin(int status, std::vector<http_header> headers) = 0;
  virtual void Write(std::string_view bytes) = 0;
  virtual void End() = 0;
  virtual void Abort() = 0;
  /** Bytes of answers that are not written to the connection yet. */
  virtual std::size_t unsent_bytes() const = 0;
  /** Whether a request is being read or answered, or the connection is about to be closed. */
  virtual bool busy() const = 0;
  /** Whether bytes have arrived that were not read yet. */
  virtual bool HasUnreadBytes() = 0;
  /** Announces in the next answer that the connection is closed after it. */
  virtual void CloseAfterAnswer() = 0;
  /**
   * Closes at once if no request has arrived or is being read or answered, otherwise after the
   * answer. Over TLS an unused connection is closed in the next turn of the loop.
   */
  virtual void CloseWhenIdle() = 0;
  /** Called right after Start: closes after one request, or soon if none arrives. */
  virtual void CloseAfterFirstRequest() = 0;
  /** Called on an idle connection when the owner's idle timeout has changed. */
  virtual void OnIdleTimeoutChanged() = 0;
};

}  // namespace hawthorndrum
