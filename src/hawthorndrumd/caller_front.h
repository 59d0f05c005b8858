/// The callers' port: health checks are answered here, all else becomes an event.
#pragma once

#include "http_handler.h"

namespace hawthorndrum {

class caller_port;
class event_sink;

/**
 * Readiness is what the platform's balancer goes by; a daemon that is stopping is not ready but
 * still answers.
 */
class caller_front : public http_handler {
 public:
  explicit caller_front(event_sink& events) : events_(events) {}

  /** The port that answers health checks; set once, before requests come. */
  void SetAnswers(caller_port& answers) { answers_ = &answers; }
  void SetReady(bool ready) { ready_ = ready; }
  bool ready() const { return ready_; }

  void OnRequest(request_id request, http_request message) override;
  void OnCallerGone(request_id request) override;

 private:
  event_sink& events_;
  caller_port* answers_ = nullptr;
  bool ready_ = false;
};

}  // namespace hawthorndrum
