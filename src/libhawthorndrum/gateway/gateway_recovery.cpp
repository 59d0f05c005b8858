/// Handles failed calls, timeouts and callers that disconnect.
#include <algorithm>
#include <utility>

#include "base/log_record.h"
#include "gateway/gateway.h"
#include "gateway/gateway_meters.h"
#include "gateway/upstream_calls.h"
#include "ports/caller_port.h"
#include "ports/clock.h"
#include "ports/event_log.h"

namespace hawthorndrum {

namespace {

/** Number of refusals, as by full upstreams, that a request may recover from. */
constexpr int kMaxRefusals = 2;
/** Number of failed connections that a request may recover from. */
constexpr int kMaxFailedConnections = 8;
/** An unreachable upstream that was silent for this long is assumed not to answer. */
constexpr duration kUnreachableSilence = milliseconds(300);
/** Initial and maximum avoidance of a failed upstream; doubles with each failure in a row. */
constexpr duration kInitialAvoidance = milliseconds(250);
constexpr duration kMaxAvoidance = seconds(3);
/** Short, since a full upstream soon has capacity again. */
constexpr duration kFullAvoidance = milliseconds(60);
/** Limits the backoff; an upstream that refuses every call is tried about every two seconds. */
constexpr int kMaxRefusalDoublings = 5;
/** The host list shows within about a second that another upstream has the address. */
constexpr duration kReplacedAvoidance = seconds(2);
/** Weight of one refusal in the moving average of the refusal share. */
constexpr double kRefusalWeight = 0.3;
constexpr duration kRetryAfterFailure = milliseconds(300);

}  // namespace

void gateway::OnAttemptConnected(const attempt_connected& connected) {
  const exchange* each = FindByAttempt(connected.attempt);
  if (each == nullptr) return;
  const time_point now = ports_.time->Now();
  fleet_upstream* row = fleet_.Find(each->call.upstream);
  if (row == nullptr) return;
  cut_off_.OnConnected(*row, now);
  crossing_.OnConnected(row->entry.data_centre, now - each->call.sent_at);
}

void gateway::OnAttemptLost(const attempt_lost& lost) {
  exchange* each = FindByAttempt(lost.attempt);
  if (each == nullptr) return;
  const time_point now = ports_.time->Now();
  if (lost.failure == attempt_failure::kNoResources) return RefuseUnsent(*each, now);
  if (each->state == exchange_state::kPassedOn) return RecoverPassedOn(*each, lost, now);
  call_problem problem;
  problem.may_have_run = lost.bytes_sent;
  problem.upstream_failed = lost.failure != attempt_failure::kMalformed;
  switch (lost.failure) {
    case attempt_failure::kNotConnected:
      problem.reason = kNotConnected;
      break;
    case attempt_failure::kConnectionLost:
      problem.reason = kConnectionLost;
      break;
    case attempt_failure::kMalformed:
      problem.reason = "malformed_answer";
      break;
    case attempt_failure::kTimeout:
      problem.reason = "no_answer_in_time";
      break;
    case attempt_failure::kNoResources:
      break;
  }
  const bool may_be_cut_off = cut_off_.IsSuspected(each->service->name);
  if (lost.failure == attempt_failure::kConnectionLost && lost.bytes_sent && !may_be_cut_off)
    crash_recorder_.RecordCrash(*each, now);
  Recover(*each, problem, now);
}

void gateway::RefuseUnsent(exchange& each, time_point now) {
  LogFailedCall(each, {kLacksResources, false, false, false}, now);
  if (each.state != exchange_state::kPrefilling) each.runs -= 1;
  Release(each);
  each.answer = {};
  each.events.DropIncomplete();
  if (each.caller_gone) return Close(each, "caller_gone", 0);
  each.state = exchange_state::kRunning;
  // A call to another upstream or daemon needs the same resources.
  Refuse(each, {kLacksResources, kRetryAfterFailure});
}

void gateway::RecordFailure(fleet_upstream& row, const call_problem& problem, time_point now) {
  crossing_.OnFailure(row.entry.service, row.entry.data_centre, now);
  if (problem.reason == kNotConnected) {
    reachability_.OnNotConnected(row, now);
    cut_off_.OnNotConnected(row, now);
    return ShortenStallTimeouts(row, now);
  }
  // Perhaps only the connection broke; a probe finds out before the next request fails.
  if (problem.reason == kConnectionLost) reachability_.OnLossReported(row, now);
  duration avoid_for = kFullAvoidance;
  if (problem.upstream_failed) {
    const int doublings = std::min(row.failures, 4);
    avoid_for = std::min<duration>(kInitialAvoidance * (1 << doublings), kMaxAvoidance);
    if (problem.reason == kRefusedByUpstream) {
      // Another upstream or stage than listed; it refuses calls until the host list is updated.
      avoid_for = kReplacedAvoidance;
      row.refuses_until = now + kReplacedAvoidance;
    }
    row.failures += 1;
  } else if (problem.may_have_run) {
    return;
  } else {
    row.refusal_share += kRefusalWeight * (1 - row.refusal_share);
    row.refuses_until = now + kFullAvoidance * (1 << std::min(row.refusals, kMaxRefusalDoublings));
    row.refusals += 1;
  }
  row.avoid_until = std::max(row.avoid_until, now + avoid_for);
}

void gateway::ShortenStallTimeouts(const fleet_upstream& row, time_point now) {
  for (auto& [id, each] : exchanges_) {
    if (each.call.upstream != row.id || each.call.first_byte_seen) continue;
    each.call.stall_timeout = std::min(each.call.stall_timeout, kUnreachableSilence);
    each.call.stalls_at = std::min(each.call.stalls_at, now + kUnreachableSilence);
  }
}

void gateway::OnProbeEnded(const probe_ended& ended) {
  const time_point now = ports_.time->Now();
  if (!ended.was_tried) return reachability_.OnProbeNotTried(ended.upstream, now);
  reachability_.OnProbeEnded(ended.upstream, ended.connected, now);
  fleet_upstream* row = fleet_.Find(ended.upstream);
  if (row == nullptr) return;
  if (ended.connected) return cut_off_.OnConnected(*row, now);
  cut_off_.OnNotConnected(*row, now);
  ShortenStallTimeouts(*row, now);
}

void gateway::LogFailedCall(const exchange& each, const call_problem& problem, time_point now) {
  const fleet_upstream* row = fleet_.Find(each.call.upstream);
  ports_.log->Write(log_importance::kNotable,
                    log_record("call_failed")
                        .Text("request", each.terms.caller_id)
                        .Text("route", each.matched->name)
                        .Text("upstream", row == nullptr ? "" : row->entry.id)
                        .Text("reason", problem.reason)
                        .Flag("may_have_run", problem.may_have_run)
                        .Flag("reading", each.state == exchange_state::kPrefilling)
                        .Number("status", each.answer.terms.status)
                        .Number("after_ms", ToMilliseconds(now - each.call.sent_at))
                        .Number("events", static_cast<std::int64_t>(each.events.events()))
                        .Number("runs", each.runs)
                        .Decimal("retries_left", allowance_.Remaining(each.service->name, now)));
}

void gateway::Recover(exchange& each, const call_problem& problem, time_point now) {
  fleet_upstream* row = fleet_.Find(each.call.upstream);
  LogFailedCall(each, problem, now);
  if (row != nullptr) RecordFailure(*row, problem, now);
  if (each.state == exchange_state::kPrefilling) return RecoverPrefill(each, problem.reason, now);
  Release(each);
  each.events.DropIncomplete();
  if (!problem.may_have_run) {
    each.runs -= 1;
    (problem.reason == kRefusedByUpstream ? each.refusals : each.failed_connections) += 1;
    // A refused run counts as an extra call if the prompt was sent for prefill before.
    if (problem.reason == kRefusedByUpstream && each.sent_to_prefill) {
      allowance_.Charge(each.service->name, now);
    }
  }
  if (each.caller_gone) return Close(each, "caller_gone", 0);
  // A run that ended may have fetched the prompt; after two refusals the engine that prefilled it
  // may have dropped it.
  const bool refused = problem.reason == kRefusedByUpstream;
  if (problem.may_have_run || (refused && each.refusals > 1)) DropHandle(each);
  if (!MayTryAgain(each, problem, now)) {
    if (problem.reason == kNotConnected && PassOn(each, now)) return;
    return GiveUp(each, problem, now);
  }
  if (each.handle) return SendPrefilledPrompt(each, now);
  // Only the first prefill is not charged to the retry budget.
  if (each.sent_to_prefill) each.may_split = allowance_.Spend(each.service->name, now);
  const auto place = Place(each, now);
  if (place) return Send(each, *place, now);
  const bool reaches_none = IsForLackOfUpstreams(place.error().reason);
  if (reaches_none && !problem.has_answer && PassOn(each, now)) return;
  GiveUp(each, problem, now);
}

bool gateway::MayTryAgain(const exchange& each, const call_problem& problem, time_point now) {
  if (each.TimeLeft(now) < exchange::kMinTimeForAttempt) return false;
  if (problem.may_have_run && !each.matched->is_idempotent()) return false;
  if (each.head_sent && !each.matched->resumable) return false;
  if (each.runs >= each.matched->attempts) return false;
  if (each.refusals > kMaxRefusals || each.failed_connections > kMaxFailedConnections) return false;
  if (crash_recorder_.CrashesUpstreams(each, now)) return false;
  // A call that never left this host is no extra call to the service.
  const bool sent = problem.may_have_run || problem.reason == kRefusedByUpstream;
  return !sent || allowance_.Spend(each.service->name, now);
}

void gateway::RecoverPrefill(exchange& each, std::string_view reason, time_point now) {
  const bool sent = each.call.head_seen || reason != kNotConnected;
  const bool refused = each.answer.terms.not_run && sent;
  if (refused) allowance_.Charge(each.service->name, now);
  each.tried.push_back(each.call.upstream);
  ports_.upstreams->Cancel(each.call.attempt);
  Release(each);
  each.answer = {};
  if (each.caller_gone) return Close(each, "caller_gone", 0);
  if (sent) each.failed_prefills += 1;
  // The first prefill that an engine accepts is not charged to the retry budget; one that was sent
  // and lost may have been accepted.
  const bool is_free = refused || !sent;
  each.may_split = each.failed_prefills < exchange::kMaxPrefills &&
                   (is_free || allowance_.Spend(each.service->name, now));
  // Each further call counts as an extra one if it is refused as well.
  if (refused && allowance_.Remaining(each.service->name, now) < 0)
    return Refuse(each, ExplainFailure(each, {kRefusedByUpstream, kRetryAfterFailure}, now));
  const auto place = Place(each, now);
  if (!place) return Refuse(each, place.error());
  Send(each, *place, now);
}

void gateway::GiveUp(exchange& each, const call_problem& problem, time_point now) {
  DropHandle(each);
  if (!problem.may_have_run && MayWait(each, now)) return Wait(each, problem.reason, now);
  if (each.head_sent) return AbortStream(each);
  if (problem.has_answer) return Deliver(each);
  if (each.runs == 0)
    return Refuse(each, ExplainFailure(each, {problem.reason, kRetryAfterFailure}, now));
  FailUnknown(each, problem.reason, each.TimeLeft(now) < exchange::kMinTimeForAttempt ? 504 : 502);
}

void gateway::FailUnknown(exchange& each, std::string_view reason, int status) {
  if (each.head_sent) return AbortStream(each);
  AnswerCaller(each, ProblemAnswer(status, reason, duration(0)), relay_outcome::kUnknown);
  Close(each, "failed", status);
}

void gateway::Expire(exchange& each, time_point now) {
  ports_.log->Write(log_importance::kNotable,
                    log_record("deadline_passed")
                        .Text("request", each.terms.caller_id)
                        .Text("route", each.matched->name)
                        .Flag("reading", each.state == exchange_state::kPrefilling)
                        .Flag("first_byte", each.call.first_byte_seen)
                        .Number("after_ms", ToMilliseconds(now - each.call.sent_at))
                        .Number("queued_tokens", static_cast<std::int64_t>(each.call.queued_tokens))
                        .Number("runs", each.runs));
  Cancel(each);
  DropHandle(each);
  if (each.head_sent) return AbortStream(each);
  if (each.runs == 0) return Refuse(each, {"deadline", kRetryAfterFailure});
  FailUnknown(each, "deadline", 504);
}

void gateway::OnCallerGone(request_id id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return resumes_.Drop(id);
  exchange& each = found->second;
  const bool finishes = each.matched->kind == route_kind::kUnsafe;
  if (finishes) {
    // The request runs at most once and has begun; a cancellation would leave its outcome unknown.
    each.caller_gone = true;
    return;
  }
  Cancel(each);
  DropHandle(each);
  Close(each, "caller_gone", 0);
}

}  // namespace hawthorndrum
