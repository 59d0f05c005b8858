/// Sends store calls, ends them at their timeouts, retries reads, and counts.
#include "systems/store_client.h"

#include <algorithm>
#include <string>

#include "base/metrics_registry.h"
#include "ports/clock.h"
#include "systems/backoff.h"

namespace hawthorndrum {

namespace {

constexpr std::array<std::string_view, 6> kOperationNames = {"get",    "create", "update",
                                                             "remove", "list",   "watch"};
constexpr std::array<std::string_view, 6> kOutcomeNames = {"done",    "conflict", "missing",
                                                           "refused", "unknown",  "stale"};
constexpr std::array<std::string_view, 3> kStateNames = {"closed", "open", "half_open"};

std::string KindLabel(store_operation operation) {
  return MetricLabel("kind", kOperationNames[static_cast<std::size_t>(operation)]);
}

bool IsWrite(store_operation operation) {
  return operation == store_operation::kCreate || operation == store_operation::kUpdate ||
         operation == store_operation::kRemove;
}

bool IsWatch(store_operation operation) { return operation == store_operation::kWatch; }

bool IsFailure(store_outcome outcome) {
  return outcome == store_outcome::kRefused || outcome == store_outcome::kUnknown;
}

store_answer AnswerWith(store_outcome outcome) {
  store_answer answer;
  answer.outcome = outcome;
  return answer;
}

}  // namespace

store_client::store_client(object_store& raw, const clock& clock, random_source& random,
                           metrics_registry& metrics, store_client_limits limits)
    : raw_(raw),
      clock_(clock),
      random_(random),
      metrics_(metrics),
      limits_(limits),
      breaker_(limits.breaker, random) {}

store_call_id store_client::Submit(store_call call, store_listener& listener) {
  const time_point now = clock_.Now();
  pending_call pending;
  pending.id = store_call_id(++last_id_);
  pending.listener = &listener;
  pending.deadline = now + call.timeout;
  if (IsWatch(call.operation)) pending.deadline += limits_.watch_grace;
  pending.call = std::move(call);
  const store_call_id id = pending.id;
  if (AwaitsProbe(pending.call.operation, now)) {
    metrics_.Counter("store_awaited_probe").Add();
    waiting_.push_back(std::move(pending));
    return id;
  }
  if (Send(pending, now)) return id;
  pending.refused_unsent = true;
  waiting_.push_back(std::move(pending));
  return id;
}

bool store_client::HasRoom(store_operation operation) const {
  if (IsWatch(operation)) return watches_out_ < limits_.watches;
  return sent_.size() - watches_out_ < limits_.outstanding;
}

bool store_client::AwaitsProbe(store_operation operation, time_point now) {
  const bool probing = breaker_.StateAt(now) == breaker_state::kHalfOpen && breaker_.probing();
  return probing && !IsWatch(operation) && waiting_.size() < limits_.outstanding;
}

bool store_client::Send(pending_call call, time_point now) {
  const store_operation operation = call.call.operation;
  if (!HasRoom(operation)) {
    metrics_.Counter("store_over_outstanding_bound").Add();
    return false;
  }
  // A watch answers only after a change or its timeout, so it can't be the probe.
  const bool probing = breaker_.StateAt(now) == breaker_state::kHalfOpen;
  if ((IsWatch(operation) && probing) || !breaker_.Admit(now)) {
    metrics_.Counter("store_refused_by_breaker").Add();
    return false;
  }
  call.sent = now;
  if (!IsWatch(operation)) call.call.timeout = call.deadline - now;
  metrics_.Counter("store_calls_sent", KindLabel(operation)).Add();
  if (IsWatch(operation)) watches_out_ += 1;
  const store_call_id raw_id = raw_.Submit(call.call, *this);
  sent_.emplace(raw_id, std::move(call));
  return true;
}

void store_client::OnStoreAnswer(store_call_id raw_id, const store_answer& answer) {
  const auto found = sent_.find(raw_id);
  if (found == sent_.end()) {
    metrics_.Counter("store_late_answers").Add();
    return;
  }
  const time_point now = clock_.Now();
  pending_call call = std::move(found->second);
  sent_.erase(found);
  if (IsWatch(call.call.operation)) watches_out_ -= 1;
  RecordOutcome(call, answer.outcome, now);
  if (RetryLater(call, answer.outcome, now)) return;
  // A read has no effect, so a lost answer to it leaves no outcome in doubt.
  const bool lost_read = answer.outcome == store_outcome::kUnknown && !IsWrite(call.call.operation);
  Deliver(call, lost_read ? AnswerWith(store_outcome::kRefused) : answer);
}

void store_client::RecordOutcome(const pending_call& call, store_outcome outcome, time_point now) {
  metrics_.Histogram("store_call_seconds", KindLabel(call.call.operation)).Record(now - call.sent);
  if (IsFailure(outcome)) {
    breaker_.Failed(now);
    return;
  }
  if (!IsWatch(call.call.operation)) breaker_.Succeeded();
}

bool store_client::RetryLater(pending_call& call, store_outcome outcome, time_point now) {
  const store_operation operation = call.call.operation;
  if (!IsFailure(outcome) || IsWrite(operation) || IsWatch(operation)) return false;
  call.retry_at =
      now + JitteredDelay(call.refusals, limits_.first_backoff, limits_.longest_backoff, random_);
  call.refusals += 1;
  if (call.retry_at >= call.deadline) return false;
  metrics_.Counter("store_read_retries").Add();
  waiting_.push_back(std::move(call));
  return true;
}

void store_client::Deliver(const pending_call& call, const store_answer& answer) {
  CallCounter(call.call.operation, answer.outcome).Add();
  call.listener->OnStoreAnswer(call.id, answer);
}

counter& store_client::CallCounter(store_operation operation, store_outcome outcome) {
  return metrics_.Counter(
      "store_calls", KindLabel(operation) + "," +
                         MetricLabel("outcome", kOutcomeNames[static_cast<std::size_t>(outcome)]));
}

void store_client::Run(time_point now) {
  CountBreaker(now);
  EndOverdue(now);
  RunWaiting(now);
}

void store_client::EndOverdue(time_point now) {
  std::vector<pending_call> overdue;
  for (auto it = sent_.begin(); it != sent_.end();) {
    if (now < it->second.deadline) {
      ++it;
      continue;
    }
    overdue.push_back(std::move(it->second));
    it = sent_.erase(it);
  }
  std::sort(overdue.begin(), overdue.end(),
            [](const pending_call& a, const pending_call& b) { return a.id < b.id; });
  for (const pending_call& call : overdue) {
    const store_operation operation = call.call.operation;
    if (IsWatch(operation)) watches_out_ -= 1;
    metrics_.Counter("store_timeouts", KindLabel(operation)).Add();
    RecordOutcome(call, store_outcome::kUnknown, now);
    Deliver(call,
            AnswerWith(IsWrite(operation) ? store_outcome::kUnknown : store_outcome::kRefused));
  }
}

void store_client::RunWaiting(time_point now) {
  std::vector<pending_call> waiting;
  waiting.swap(waiting_);
  for (pending_call& call : waiting) {
    if (call.refused_unsent || now >= call.deadline) {
      Deliver(call, AnswerWith(store_outcome::kRefused));
      continue;
    }
    if (now < call.retry_at || AwaitsProbe(call.call.operation, now)) {
      waiting_.push_back(std::move(call));
      continue;
    }
    if (!Send(call, now)) Deliver(call, AnswerWith(store_outcome::kRefused));
  }
}

void store_client::CountBreaker(time_point now) {
  const auto state = static_cast<std::size_t>(breaker_.state());
  if (breaker_counting_) {
    duration& remainder = breaker_remainder_[state];
    remainder += now - breaker_counted_;
    const std::int64_t whole = ToMilliseconds(remainder);
    remainder -= milliseconds(whole);
    metrics_.Counter("store_breaker_milliseconds", MetricLabel("state", kStateNames[state]))
        .Add(static_cast<std::uint64_t>(whole));
  }
  breaker_counting_ = true;
  breaker_counted_ = now;
  metrics_.Counter("store_breaker_open")
      .Set(breaker_.StateAt(now) == breaker_state::kClosed ? 0 : 1);
  metrics_.Counter("store_outstanding").Set(sent_.size());
}

}  // namespace hawthorndrum
