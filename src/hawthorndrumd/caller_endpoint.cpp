/// HTTP endpoint of the callers' port.
#include "caller_endpoint.h"

#include <string>
#include <string_view>
#include <utility>

#include "ports/caller_port.h"
#include "ports/event_sink.h"
#include "readiness.h"

namespace hawthorndrum {

namespace {

http_answer PlainAnswer(int status, std::string_view text) {
  return {status, {{"Content-Type", "text/plain"}}, std::string(text)};
}

}  // namespace

void caller_endpoint::OnRequest(request_id request, http_request message) {
  if (message.target == "/healthz") {
    return answers_->Answer(request, PlainAnswer(200, "alive\n"));
  }
  if (message.target == "/readyz") {
    return answers_->Answer(
        request, ready_.IsReady() ? PlainAnswer(200, "ready\n") : PlainAnswer(503, "not ready\n"));
  }
  events_.Post(request_arrived{request, std::move(message)});
}

void caller_endpoint::OnCallerGone(request_id request) { events_.Post(caller_gone{request}); }

}  // namespace hawthorndrum
