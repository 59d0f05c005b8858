/// The endpoint for the gateway's callers.
#pragma once

#include <utility>

#include "http_handler.h"
#include "ports/event_sink.h"

namespace hawthorndrum {

/** Posts callers' requests as events, to be handled at the next tick. */
class gateway_endpoint : public http_handler {
 public:
  explicit gateway_endpoint(event_sink& events) : events_(events) {}

  void OnRequest(request_id request, http_request message) override {
    events_.Post(request_arrived{request, std::move(message)});
  }
  void OnCallerGone(request_id request) override { events_.Post(caller_gone{request}); }

 private:
  event_sink& events_;
};

}  // namespace hawthorndrum
