/// Sends the answer to one call of a stand-in.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "base/http_message.h"
#include "base/ids.h"

namespace hawthorndrum {

class caller_port;

/**
 * Answers one call. A default-constructed reply discards everything; it serves calls whose answer
 * a fault drops.
 */
class standin_reply {
 public:
  standin_reply(caller_port& server, request_id request) : server_(&server), request_(request) {}
  /** Constructs a reply that discards the answer. */
  standin_reply() = default;

  void Answer(int status, std::string_view body, std::vector<http_header> headers = {});
  void Begin(int status, std::vector<http_header> headers);
  void Write(std::string_view bytes);
  void End();
  void Abort();

  request_id request() const { return request_; }

 private:
  caller_port* server_ = nullptr;
  request_id request_;
};

}  // namespace hawthorndrum
