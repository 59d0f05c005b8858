/// The endpoint for the gateway's callers.
#pragma once

#include <cstdint>
#include <utility>

#include "http_handler.h"
#include "ports/event_sink.h"
#include "unread_refusals.h"

namespace hawthorndrum {

/** Posts callers' requests as events, to be handled at the next tick. */
class gateway_endpoint : public http_handler {
 public:
  explicit gateway_endpoint(event_sink& events) : events_(events) {}

  void SetRefusals(unread_refusals& refusals) { refusals_ = &refusals; }

  void OnRequest(request_id request, http_request message) override {
    events_.Post(request_arrived{request, std::move(message)});
  }
  void OnCallerGone(request_id request) override { events_.Post(caller_gone{request}); }
  void OnRefusedUnread(std::uint64_t bytes, http_answer&) override {
    if (refusals_ != nullptr) refusals_->Record("callers", bytes);
  }

 private:
  event_sink& events_;
  unread_refusals* refusals_ = nullptr;
};

}  // namespace hawthorndrum
