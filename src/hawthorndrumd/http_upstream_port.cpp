/// Sends requests to the upstreams over HTTP.
#include "http_upstream_port.h"

#include "http_client.h"
#include "ports/event_sink.h"

namespace hawthorndrum {

namespace {

constexpr duration kConnectTimeout = milliseconds(500);
/** An upstream that sends nothing for this long is considered lost. */
constexpr duration kIdleTimeout = seconds(120);

}  // namespace

void http_upstream_port::Send(attempt_id attempt, std::string_view address, http_request request) {
  http_call call;
  call.address = std::string(address);
  // A reused connection may turn out to be closed only after the request was written to it.
  call.reuse = request.repeatable;
  call.request = std::move(request);
  call.connect_timeout = kConnectTimeout;
  call.idle_timeout = kIdleTimeout;
  const http_call_id id = client_.Start(std::move(call), *this);
  attempts_[id] = attempt;
  calls_[attempt] = id;
}

void http_upstream_port::Cancel(attempt_id attempt) {
  const auto found = calls_.find(attempt);
  if (found == calls_.end()) return;
  client_.Cancel(found->second);
  attempts_.erase(found->second);
  calls_.erase(found);
}

void http_upstream_port::OnHead(http_call_id id, int status, std::vector<http_header> headers) {
  events_.Post(attempt_head{attempts_[id], status, std::move(headers)});
}

void http_upstream_port::OnBody(http_call_id id, std::string bytes) {
  events_.Post(attempt_bytes{attempts_[id], std::move(bytes)});
}

void http_upstream_port::OnFinished(http_call_id id) {
  events_.Post(attempt_finished{RemoveCall(id)});
}

void http_upstream_port::OnFinishedByClose(http_call_id id) {
  events_.Post(attempt_finished{RemoveCall(id), true});
}

void http_upstream_port::OnLost(http_call_id id, attempt_failure failure, bool bytes_sent) {
  events_.Post(attempt_lost{RemoveCall(id), failure, bytes_sent});
}

attempt_id http_upstream_port::RemoveCall(http_call_id id) {
  const attempt_id attempt = attempts_[id];
  attempts_.erase(id);
  calls_.erase(attempt);
  return attempt;
}

}  // namespace hawthorndrum
