/// Makes HTTP calls whose answers are buffered completely.
#include "buffered_calls.h"

#include <utility>

#include "http_client.h"

namespace hawthorndrum {

http_call_id buffered_calls::Start(http_call call, std::size_t longest_answer, handler done) {
  const http_call_id id = client_.Start(std::move(call), *this);
  open_call& started = calls_[id];
  started.done = std::move(done);
  started.longest_answer = longest_answer;
  started.held = byte_claim(budget_);
  return id;
}

void buffered_calls::OnHead(http_call_id id, int status, std::vector<http_header> headers) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  http_answer& answer = found->second.collected.answer;
  answer.status = status;
  answer.headers = std::move(headers);
}

void buffered_calls::OnBody(http_call_id id, std::string bytes) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  open_call& open = found->second;
  std::string& body = open.collected.answer.body;
  if (bytes.size() <= open.longest_answer - body.size()) {
    body += bytes;
    return open.held.Set(body.size());
  }
  client_.Cancel(id);
  open_call ended = Take(id);
  ended.collected.is_too_long = true;
  if (ended.done) ended.done(std::move(ended.collected));
}

void buffered_calls::OnFinished(http_call_id id) {
  open_call ended = Take(id);
  ended.collected.received = true;
  if (ended.done) ended.done(std::move(ended.collected));
}

void buffered_calls::OnLost(http_call_id id, attempt_failure, bool bytes_sent) {
  open_call ended = Take(id);
  ended.collected.bytes_sent = bytes_sent;
  if (ended.done) ended.done(std::move(ended.collected));
}

buffered_calls::open_call buffered_calls::Take(http_call_id id) {
  auto taken = calls_.extract(id);
  return taken ? std::move(taken.mapped()) : open_call();
}

}  // namespace hawthorndrum
