/// Calls upstreams over HTTP.
#pragma once

#include <string>
#include <unordered_map>

#include "gateway/upstream_calls.h"
#include "http_call_listener.h"

namespace hawthorndrum {

class event_sink;
class http_client;

/**
 * Invariant: calls_ and attempts_ contain the same pairs; calls whose answer is ignored are in
 * neither.
 */
class http_upstream_calls : public upstream_calls, public http_call_listener {
 public:
  http_upstream_calls(http_client& client, event_sink& events, std::string answer_id_header);

  void Send(upstream_call call) override;
  void Cancel(attempt_id attempt) override;
  void SetPaused(attempt_id attempt, bool paused) override;
  void Probe(upstream_id upstream, const std::string& address) override;
  void Notify(const std::string& address, http_request request) override;

  void OnConnected(http_call_id id) override;
  void OnHead(http_call_id id, int status, std::vector<http_header> headers) override;
  void OnBody(http_call_id id, std::string bytes) override;
  void OnFinished(http_call_id id) override;
  void OnFinishedByClose(http_call_id id) override;
  void OnLost(http_call_id id, attempt_failure failure, bool bytes_sent) override;

 private:
  /** Removes a finished call and returns its attempt, or a null id if it has none. */
  attempt_id RemoveCall(http_call_id id);
  attempt_id AttemptOf(http_call_id id) const;

  http_client& client_;
  event_sink& events_;
  std::string answer_id_header_;
  std::unordered_map<http_call_id, attempt_id> attempts_;
  std::unordered_map<attempt_id, http_call_id> calls_;
};

}  // namespace hawthorndrum
