/// Makes object store calls over HTTP; see docs/protocols.md.
#include "blocking_object_store.h"

#include <utility>

#include "object_api.h"

namespace hawthorndrum {
namespace {

constexpr duration kTimeoutMargin = seconds(2);

}  // namespace

store_call_id blocking_object_store::Submit(store_call call, store_listener& listener) {
  const store_call_id id(++last_id_);
  queue_.push_back({id, std::move(call), &listener});
  return id;
}

bool blocking_object_store::Pump() {
  if (queue_.empty()) return false;
  const queued_call next = std::move(queue_.front());
  queue_.pop_front();
  next.listener->OnStoreAnswer(next.id, Call(next.call));
  return true;
}

store_answer blocking_object_store::Call(const store_call& call) {
  last_problem_.clear();
  expected<http_answer> response =
      CallHttp(endpoint_, ObjectApiRequest(call), call.timeout + kTimeoutMargin);
  if (!response) {
    last_problem_ = response.error().message;
    return ObjectApiNoAnswer(call, response.error().code == error_code::kUnknownOutcome);
  }
  const int status = response->status;
  store_answer answer = ObjectApiAnswer(call, std::move(*response));
  if (status >= 400 && answer.outcome != store_outcome::kMissing) {
    last_problem_ = endpoint_.address + ": status " + std::to_string(status);
  }
  return answer;
}

}  // namespace hawthorndrum
