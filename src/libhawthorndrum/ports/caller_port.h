/// The port through which answers are sent to callers.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "base/http_message.h"
#include "base/ids.h"

namespace hawthorndrum {

/**
 * Answers callers. Each request gets either one Answer, or Begin, any number of Write, and then
 * End or Abort.
 */
class caller_port {
 public:
  virtual ~caller_port() = default;
  /** Sends a complete answer at once. */
  virtual void Answer(request_id request, http_answer answer) = 0;
  /** Sends the head of an answer whose body follows in parts. */
  virtual void Begin(request_id request, int status, std::vector<http_header> headers) = 0;
  virtual void Write(request_id request, std::string_view bytes) = 0;
  /** Ends the answer as complete. */
  virtual void End(request_id request) = 0;
  /** Closes the connection so that the answer can't be mistaken for a complete one. */
  virtual void Abort(request_id request) = 0;
  /** Returns how many bytes of the answer the caller has not taken yet. */
  virtual std::size_t UnsentBytes(request_id) const { return 0; }
};

}  // namespace hawthorndrum
