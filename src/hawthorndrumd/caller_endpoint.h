/// HTTP endpoint of the callers' port: answers health checks and posts other requests as events.
#pragma once

#include "http_handler.h"

namespace hawthorndrum {

class caller_port;
class event_sink;
class readiness;

/**
 * Accepts requests also while the daemon is not ready: keeping callers away then is the job of the
 * platform's load balancer, which reads `/readyz`.
 */
class caller_endpoint : public http_handler {
 public:
  caller_endpoint(event_sink& events, const readiness& ready) : events_(events), ready_(ready) {}

  /** Sets the port through which health checks are answered; call once, before requests arrive. */
  void SetCallerPort(caller_port& answers) { answers_ = &answers; }

  void OnRequest(request_id request, http_request message) override;
  void OnCallerGone(request_id request) override;

 private:
  event_sink& events_;
  const readiness& ready_;
  caller_port* answers_ = nullptr;
};

}  // namespace hawthorndrum
