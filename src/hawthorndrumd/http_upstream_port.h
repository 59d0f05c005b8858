/// Sends requests to the upstreams over HTTP.
#pragma once

#include <unordered_map>

#include "http_call_listener.h"
#include "ports/upstream_port.h"

namespace hawthorndrum {

class event_sink;
class http_client;

/**
 * Makes one HTTP call for each attempt and posts its progress and outcome as events.
 *
 * Invariant: calls_ and attempts_ are inverse maps of each other.
 */
class http_upstream_port : public upstream_port, public http_call_listener {
 public:
  http_upstream_port(http_client& client, event_sink& events) : client_(client), events_(events) {}

  void Send(attempt_id attempt, std::string_view address, http_request request) override;
  void Cancel(attempt_id attempt) override;

  void OnHead(http_call_id id, int status, std::vector<http_header> headers) override;
  void OnBody(http_call_id id, std::string bytes) override;
  void OnFinished(http_call_id id) override;
  void OnFinishedByClose(http_call_id id) override;
  void OnLost(http_call_id id, attempt_failure failure, bool bytes_sent) override;

 private:
  attempt_id RemoveCall(http_call_id id);

  http_client& client_;
  event_sink& events_;
  std::unordered_map<http_call_id, attempt_id> attempts_;
  std::unordered_map<attempt_id, http_call_id> calls_;
};

}  // namespace hawthorndrum
