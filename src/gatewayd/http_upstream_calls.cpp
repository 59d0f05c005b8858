/// Sends the gateway's calls over HTTP and posts their results as events.
#include "http_upstream_calls.h"

#include <optional>
#include <utility>

#include "http_client.h"
#include "ports/event_sink.h"

namespace hawthorndrum {

namespace {

/** Connecting takes a few milliseconds within a region, and another upstream may take over. */
constexpr duration kConnectTimeout = milliseconds(200);
/** Timeout for calls whose answer is ignored. */
constexpr duration kNotifyTimeout = seconds(2);

}  // namespace

http_upstream_calls::http_upstream_calls(http_client& client, event_sink& events,
                                         std::string answer_id_header)
    : client_(client), events_(events), answer_id_header_(std::move(answer_id_header)) {}

void http_upstream_calls::Send(upstream_call sent) {
  http_call call;
  call.address = std::move(sent.address);
  call.owner = sent.upstream.value();
  call.longest_idle = sent.longest_idle;
  call.resend = false;
  call.request = std::move(sent.request);
  call.connect_timeout = kConnectTimeout;
  // An upstream may be silent until the request's deadline, which the gateway enforces.
  call.idle_timeout = duration(0);
  call.expected_answer = {answer_id_header_, std::move(sent.caller_id), sent.answers_carry_id};
  const http_call_id id = client_.Start(std::move(call), *this);
  attempts_[id] = sent.attempt;
  calls_[sent.attempt] = id;
}

void http_upstream_calls::Cancel(attempt_id attempt) {
  const auto found = calls_.find(attempt);
  if (found == calls_.end()) return;
  client_.Cancel(found->second);
  attempts_.erase(found->second);
  calls_.erase(found);
}

void http_upstream_calls::SetPaused(attempt_id attempt, bool paused) {
  const auto found = calls_.find(attempt);
  if (found != calls_.end()) client_.SetPaused(found->second, paused);
}

void http_upstream_calls::Probe(upstream_id upstream, const std::string& address) {
  client_.Probe(address, upstream.value(), kConnectTimeout,
                [this, upstream](std::optional<attempt_failure> failure) {
                  const bool was_tried = failure != attempt_failure::kNoResources;
                  events_.Post(probe_ended{upstream, !failure, was_tried});
                });
}

void http_upstream_calls::Notify(const std::string& address, http_request request) {
  http_call call;
  call.address = address;
  call.request = std::move(request);
  call.total_timeout = kNotifyTimeout;
  client_.Start(std::move(call), *this);
}

attempt_id http_upstream_calls::AttemptOf(http_call_id id) const {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? attempt_id() : found->second;
}

void http_upstream_calls::OnConnected(http_call_id id) {
  const attempt_id attempt = AttemptOf(id);
  if (attempt) events_.Post(attempt_connected{attempt});
}

void http_upstream_calls::OnHead(http_call_id id, int status, std::vector<http_header> headers) {
  const attempt_id attempt = AttemptOf(id);
  if (attempt) events_.Post(attempt_head{attempt, status, std::move(headers)});
}

void http_upstream_calls::OnBody(http_call_id id, std::string bytes) {
  const attempt_id attempt = AttemptOf(id);
  if (attempt) events_.Post(attempt_bytes{attempt, std::move(bytes)});
}

void http_upstream_calls::OnFinished(http_call_id id) {
  const attempt_id attempt = RemoveCall(id);
  if (attempt) events_.Post(attempt_finished{attempt});
}

void http_upstream_calls::OnFinishedByClose(http_call_id id) {
  const attempt_id attempt = RemoveCall(id);
  if (attempt) events_.Post(attempt_finished{attempt, true});
}

void http_upstream_calls::OnLost(http_call_id id, attempt_failure failure, bool bytes_sent) {
  const attempt_id attempt = RemoveCall(id);
  if (attempt) events_.Post(attempt_lost{attempt, failure, bytes_sent});
}

attempt_id http_upstream_calls::RemoveCall(http_call_id id) {
  const attempt_id attempt = AttemptOf(id);
  attempts_.erase(id);
  if (attempt) calls_.erase(attempt);
  return attempt;
}

}  // namespace hawthorndrum
