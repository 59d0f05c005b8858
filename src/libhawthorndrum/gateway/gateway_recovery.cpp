/// What follows when an upstream fails a request, or the caller goes.
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

/** Less time than this is not worth another try. */
constexpr duration kLeastTimeForTry = milliseconds(30);
/** Upstreams that refused a request because they are full, before it is refused here. */
constexpr int kMostRefusals = 2;
/** Upstreams to which no connection could be made, before the request is refused here. */
constexpr int kMostUnreached = 8;
/** An upstream that cannot be reached and was silent for so long will not answer. */
constexpr duration kLostSilence = milliseconds(300);
/** An upstream that failed is kept away from for so long, doubled with each failure in a row. */
constexpr duration kFirstAvoidance = milliseconds(250);
constexpr duration kLongestAvoidance = seconds(3);
/** A full upstream has room again soon. */
constexpr duration kFullAvoidance = milliseconds(60);
/** An upstream that refuses every call is asked about every two seconds. */
constexpr int kMostRefusalDoublings = 5;
/** The host list tells within about a second that another upstream has the address. */
constexpr duration kAnotherAvoidance = seconds(2);
/** How much one refusal counts in the share of refusals that is remembered. */
constexpr double kRefusalWeight = 0.3;
/** Engines that may be asked to read a prompt for another one. */
constexpr int kMostReadings = 2;
constexpr duration kRetryAfterFailure = milliseconds(300);

}  // namespace

void gateway::OnAttemptLost(const attempt_lost& lost) {
  exchange* each = FindByAttempt(lost.attempt);
  if (each == nullptr) return;
  const time_point now = ports_.time->Now();
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
  }
  if (lost.failure == attempt_failure::kConnectionLost && lost.bytes_sent) {
    const crash_report crash{each->fingerprint, each->call.upstream};
    if (crashes_.Note(crash, now)) own_crashes_.push_back(crash);
    own_crashes_at_ = now;
  }
  Recover(*each, problem, now);
}

void gateway::NoteFailure(fleet_upstream& row, const call_problem& problem, time_point now) {
  if (problem.reason == kNotConnected) {
    reach_.OnNotConnected(row, now);
    return DoubtCallsAt(row, now);
  }
  // A connection that broke may be all that is wrong; a probe tells before the next request fails.
  if (problem.reason == kConnectionLost) reach_.OnWordOfLoss(row, now);
  duration avoid_for = kFullAvoidance;
  if (problem.upstream_failed) {
    const int doublings = std::min(row.failures, 4);
    avoid_for = std::min<duration>(kFirstAvoidance * (1 << doublings), kLongestAvoidance);
    if (problem.reason == kRefusedByUpstream) {
      // Not the one that is listed, or in another stage: it will refuse until the list says so.
      avoid_for = kAnotherAvoidance;
      row.refuses_until = now + kAnotherAvoidance;
    }
    row.failures += 1;
  } else if (problem.may_have_run) {
    return;
  } else {
    row.refusal_share += kRefusalWeight * (1 - row.refusal_share);
    row.refuses_until = now + kFullAvoidance * (1 << std::min(row.refusals, kMostRefusalDoublings));
    row.refusals += 1;
  }
  row.avoid_until = std::max(row.avoid_until, now + avoid_for);
}

void gateway::DoubtCallsAt(const fleet_upstream& row, time_point now) {
  for (auto& [id, each] : exchanges_) {
    if (each.call.upstream != row.id || each.call.first_byte_seen) continue;
    each.call.patience = std::min(each.call.patience, kLostSilence);
    each.call.stalls_at = std::min(each.call.stalls_at, now + kLostSilence);
  }
}

void gateway::OnProbeEnded(const probe_ended& ended) {
  const time_point now = ports_.time->Now();
  reach_.OnProbeEnded(ended.upstream, ended.connected, now);
  const fleet_upstream* row = fleet_.Find(ended.upstream);
  if (row != nullptr && !ended.connected) DoubtCallsAt(*row, now);
}

void gateway::Recover(exchange& each, const call_problem& problem, time_point now) {
  fleet_upstream* row = fleet_.Find(each.call.upstream);
  ports_.log->Write(log_importance::kNotable,
                    log_record("call_failed")
                        .Text("request", each.terms.caller_id)
                        .Text("route", each.matched->name)
                        .Text("upstream", row == nullptr ? "" : row->entry.id)
                        .Text("reason", problem.reason)
                        .Flag("may_have_run", problem.may_have_run)
                        .Flag("reading", each.state == exchange_state::kReading)
                        .Number("status", each.answer.terms.status)
                        .Number("after_ms", ToMilliseconds(now - each.call.sent_at))
                        .Number("events", static_cast<std::int64_t>(each.events.events()))
                        .Number("runs", each.runs)
                        .Decimal("retries_left", allowance_.LevelOf(each.service->name, now)));
  if (row != nullptr) NoteFailure(*row, problem, now);
  if (each.state == exchange_state::kReading) return RunWithoutReader(each, problem.reason, now);
  Release(each);
  each.events.DropRest();
  if (!problem.may_have_run) {
    each.runs -= 1;
    (problem.reason == kRefusedByUpstream ? each.refusals : each.unreached) += 1;
    // A refused run counts as an extra call where the prompt was read before.
    if (problem.reason == kRefusedByUpstream && each.sent_to_read) {
      allowance_.Charge(each.service->name, now);
    }
  }
  if (each.caller_gone) return Close(each, "caller_gone", 0);
  // A run that ended may have taken the prompt; one that was refused twice may have found it gone.
  const bool refused = problem.reason == kRefusedByUpstream;
  if (problem.may_have_run || (refused && each.refusals > 1)) DropHandle(each);
  if (!MayTryAgain(each, problem, now)) return GiveUp(each, problem, now);
  if (each.handle) return SendReadPrompt(each, now);
  // Only the first reading is free of the retry budget.
  if (each.sent_to_read) each.may_split = allowance_.Spend(each.service->name, now);
  const auto place = Place(each, now);
  if (!place) return GiveUp(each, problem, now);
  Send(each, *place, now);
}

bool gateway::MayTryAgain(const exchange& each, const call_problem& problem, time_point now) {
  if (each.TimeLeft(now) < kLeastTimeForTry) return false;
  if (problem.may_have_run && !each.matched->is_idempotent()) return false;
  if (each.head_sent && !each.matched->resumable) return false;
  if (each.runs >= each.matched->attempts) return false;
  if (each.refusals > kMostRefusals || each.unreached > kMostUnreached) return false;
  if (crashes_.IsConvicted(each.fingerprint, now)) return false;
  // What never left this host is no further call at the service.
  const bool sent = problem.may_have_run || problem.reason == kRefusedByUpstream;
  return !sent || allowance_.Spend(each.service->name, now);
}

void gateway::RunWithoutReader(exchange& each, std::string_view reason, time_point now) {
  const bool sent = each.call.head_seen || reason != kNotConnected;
  const bool refused = each.answer.terms.not_run && sent;
  if (refused) allowance_.Charge(each.service->name, now);
  each.tried.push_back(each.call.upstream);
  ports_.upstreams->Cancel(each.call.attempt);
  Release(each);
  each.answer = {};
  if (each.caller_gone) return Close(each, "caller_gone", 0);
  if (sent) each.readings += 1;
  // The first reading that an engine accepts is free of the retry budget; one that was sent and
  // lost may have been accepted.
  const bool is_free = refused || !sent;
  each.may_split =
      each.readings < kMostReadings && (is_free || allowance_.Spend(each.service->name, now));
  const auto place = Place(each, now);
  if (!place) return Refuse(each, place.error().reason, place.error().retry_after);
  Send(each, *place, now);
}

void gateway::GiveUp(exchange& each, const call_problem& problem, time_point now) {
  DropHandle(each);
  if (each.head_sent) return CutOff(each);
  if (problem.has_answer) return Deliver(each);
  if (each.runs == 0) return Refuse(each, problem.reason, kRetryAfterFailure);
  FailUnknown(each, problem.reason, each.TimeLeft(now) < kLeastTimeForTry ? 504 : 502);
}

void gateway::FailUnknown(exchange& each, std::string_view reason, int status) {
  ports_.callers->Answer(each.id, ProblemAnswer(status, reason, duration(0)));
  Close(each, "failed", status);
}

void gateway::Expire(exchange& each, time_point now) {
  ports_.log->Write(log_importance::kNotable,
                    log_record("deadline_passed")
                        .Text("request", each.terms.caller_id)
                        .Text("route", each.matched->name)
                        .Flag("reading", each.state == exchange_state::kReading)
                        .Flag("first_byte", each.call.first_byte_seen)
                        .Number("after_ms", ToMilliseconds(now - each.call.sent_at))
                        .Number("queued_tokens", static_cast<std::int64_t>(each.call.queued_tokens))
                        .Number("runs", each.runs));
  Cancel(each);
  DropHandle(each);
  if (each.head_sent) return CutOff(each);
  if (each.runs == 0) return Refuse(each, "deadline", kRetryAfterFailure);
  FailUnknown(each, "deadline", 504);
}

void gateway::Stall(exchange& each, time_point now) {
  // An upstream that sends anything to anyone here is at work; its silence on one request is not.
  const fleet_upstream* row = fleet_.Find(each.call.upstream);
  const time_point sign =
      row == nullptr ? each.call.sent_at : std::max(row->alive_at, each.call.sent_at);
  if (now - sign < each.call.patience) {
    each.call.stalls_at = sign + each.call.patience;
    return;
  }
  if (each.state == exchange_state::kReading) {
    ports_.upstreams->Cancel(each.call.attempt);
    return Recover(each, {"reader_stalled", true, true, false}, now);
  }
  const bool may_move = each.matched->is_idempotent() && each.runs < each.matched->attempts;
  each.call.stalls_at = each.deadline;
  if (!may_move) return;
  // Moving costs the work done so far, so there must be a place first.
  const auto place = Place(each, now);
  if (!place || place->expected > each.TimeLeft(now)) return;
  ports_.upstreams->Cancel(each.call.attempt);
  Recover(each, {"stalled", true, true, false}, now);
}

void gateway::OnCallerGone(request_id id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  exchange& each = found->second;
  const bool finishes = each.matched->kind == route_kind::kUnsafe;
  if (finishes) {
    // It runs at most once and has begun; cutting it off would leave its outcome open.
    each.caller_gone = true;
    return;
  }
  Cancel(each);
  DropHandle(each);
  Close(each, "caller_gone", 0);
}

}  // namespace hawthorndrum
