/// The callers' port: health checks are answered here, all else becomes an event.
#pragma once

#include "http_handler.h"

namespace hawthorndrum {

class caller_port;
class event_sink;
class readiness;

/**
 * A daemon that is not ready still answers; the platform's balancer keeps callers away from it.
 */
class caller_front : public http_handler {
 public:
  caller_front(event_sink& events, const readiness& ready) : events_(events), ready_(ready) {}

  /** The port that answers health checks; set once, before requests come. */
  void SetAnswers(caller_port& answers) { answers_ = &answers; }

  void OnRequest(request_id request, http_request message) override;
  void OnCallerGone(request_id request) override;

 private:
  event_sink& events_;
  const readiness& ready_;
  caller_port* answers_ = nullptr;
};

}  // namespace hawthorndrum
