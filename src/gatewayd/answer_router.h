/// Sends each answer through the server on which its request arrived.
#pragma once

#include <string_view>
#include <utility>
#include <vector>

#include "http_server.h"
#include "ports/caller_port.h"

namespace hawthorndrum {

/** Request ids are random, so those of the two servers differ. */
class answer_router : public caller_port {
 public:
  answer_router(http_server& callers, http_server& daemons)
      : callers_(callers), daemons_(daemons) {}

  void Answer(request_id request, http_answer answer) override {
    ServerOf(request).Answer(request, std::move(answer));
  }
  void Begin(request_id request, int status, std::vector<http_header> headers) override {
    ServerOf(request).Begin(request, status, std::move(headers));
  }
  void Write(request_id request, std::string_view bytes) override {
    ServerOf(request).Write(request, bytes);
  }
  void End(request_id request) override { ServerOf(request).End(request); }
  void Abort(request_id request) override { ServerOf(request).Abort(request); }
  std::size_t UnsentBytes(request_id request) const override {
    return ServerOf(request).UnsentBytes(request);
  }

 private:
  http_server& ServerOf(request_id request) const {
    return daemons_.IsOpen(request) ? daemons_ : callers_;
  }

  http_server& callers_;
  http_server& daemons_;
};

}  // namespace hawthorndrum
