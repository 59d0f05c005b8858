/// Moves calls whose upstream is silent, in ways that cannot end the caller's answer.
#include <algorithm>

#include "base/log_record.h"
#include "gateway/gateway.h"
#include "gateway/upstream_calls.h"
#include "ports/clock.h"
#include "ports/event_log.h"

namespace hawthorndrum {

namespace {

/** How often a stalled call that could not move, or a waiting request, is considered again. */
constexpr duration kStallCheckInterval = milliseconds(200);
/** A run that is sent again is an extra call to the service. */
constexpr double kRetriesOfRun = 1;
/** So is a second prefill of its prompt. */
constexpr double kRetriesOfPrefill = 1;
/**
 * Further retries that must be left before a stream that has begun may move: the next upstream may
 * refuse it, and the caller cannot be told to come back in the middle of an answer.
 */
constexpr double kSpareRetriesOfStream = 1;

/** Stall timeouts after which a call without progress may move although its upstream is alive. */
constexpr int kUnansweredTimeouts = 2;

}  // namespace

void gateway::Stall(exchange& each, time_point now) {
  if (each.state == exchange_state::kPassedOn) return StallPassedOn(each, now);
  if (each.state == exchange_state::kWaiting) {
    each.call.stalls_at = now + kStallCheckInterval;
    const auto place = PlaceAgain(each, now);
    if (place) return SendAgain(each, *place, now);
    if (CannotBePlacedInTime(each, now)) EndWait(each);
    return;
  }
  // An upstream that sends any byte to this daemon, or to one that reports it, is alive, so silence
  // on one request alone is no stall.
  const fleet_upstream* row = fleet_.Find(each.call.upstream);
  const time_point heard_since = std::max(each.call.sent_at, reads_since_);
  const time_point last_activity =
      row == nullptr ? heard_since : std::max(row->last_active_at, heard_since);
  const duration silence = now - last_activity;
  const time_point answer_due = AnswerDue(each, row);
  if (silence < each.call.stall_timeout && now < answer_due) {
    each.call.stalls_at = std::min(last_activity + each.call.stall_timeout, answer_due);
    return;
  }
  each.call.stalls_at = now + kStallCheckInterval;
  const auto place = PlaceAgain(each, now);
  if (!place) return LogStall(each, silence, place.error(), now);
  LogStall(each, silence, "moves", now);
  Move(each, *place, now);
}

time_point gateway::AnswerDue(const exchange& each, const fleet_upstream* row) const {
  const time_point since = std::max({each.call.progress_at, each.call.sent_at, reads_since_});
  // An upstream that answers this daemon's other calls has put off this one.
  const bool answers_others = row != nullptr && row->heard_here_at > since;
  if (answers_others && !each.call.has_part) return time_point::max();
  return since + kUnansweredTimeouts * each.call.stall_timeout;
}

tl::expected<placement, std::string_view> gateway::PlaceAgain(const exchange& each,
                                                              time_point now) {
  const bool prefilling = each.state == exchange_state::kPrefilling;
  const bool may_run_again =
      prefilling || (each.matched->is_idempotent() && each.runs < each.matched->attempts);
  if (!may_run_again || crash_recorder_.CrashesUpstreams(each, now))
    return tl::make_unexpected("waits_no_attempt");
  const bool waiting = each.state == exchange_state::kWaiting;
  const double spare = each.head_sent && !waiting ? kSpareRetriesOfStream : 0;
  const double left = allowance_.Remaining(each.service->name, now) - spare;
  const double for_run = prefilling ? 0 : kRetriesOfRun;
  if (left < for_run) return tl::make_unexpected("waits_no_retry");

  std::vector<upstream_id> tried = each.tried;
  if (prefilling) tried.push_back(each.call.upstream);
  placement_query query = QueryFor(each, now);
  query.tried = &tried;
  // A handle that the stalled call may have used cannot be used again.
  query.is_prefilled = false;
  query.prefilled_at = nullptr;
  const bool may_prefill_again = !each.sent_to_prefill || left >= for_run + kRetriesOfPrefill;
  const int failed_prefills = each.failed_prefills + (prefilling ? 1 : 0);
  query.may_split = may_prefill_again && failed_prefills < exchange::kMaxPrefills;
  const auto place = Choose(each, query, now);
  if (!place || place->expected > each.TimeLeft(now))
    return tl::make_unexpected("waits_no_upstream");
  return *place;
}

void gateway::Move(exchange& each, const placement& place, time_point now) {
  const bool prefilling = each.state == exchange_state::kPrefilling;
  const call_problem problem{prefilling ? "reader_stalled" : "stalled", true, true, false};
  LogFailedCall(each, problem, now);
  if (fleet_upstream* row = fleet_.Find(each.call.upstream)) RecordFailure(*row, problem, now);
  if (prefilling) {
    each.tried.push_back(each.call.upstream);
    each.failed_prefills += 1;
  } else {
    each.events.DropIncomplete();
    DropHandle(each);
  }
  Cancel(each);
  if (each.caller_gone) return Close(each, "caller_gone", 0);
  each.answer = {};
  each.moved = true;
  SendAgain(each, place, now);
}

void gateway::SendAgain(exchange& each, const placement& place, time_point now) {
  if (each.state != exchange_state::kPrefilling) allowance_.Charge(each.service->name, now);
  if (place.prefills_at && each.sent_to_prefill) allowance_.Charge(each.service->name, now);
  Send(each, place, now);
}

bool gateway::MayWait(const exchange& each, time_point now) {
  // Before its first run a request is refused, and its caller told when to come back.
  return each.moved && !each.caller_gone && each.runs > 0 && each.runs < each.matched->attempts &&
         each.TimeLeft(now) >= exchange::kMinTimeForAttempt &&
         !crash_recorder_.CrashesUpstreams(each, now) && !CannotBePlacedInTime(each, now);
}

void gateway::EndWait(exchange& each) {
  if (each.head_sent) return AbortStream(each);
  FailUnknown(each, kUpstreamsWantNothing, 502);
}

void gateway::Wait(exchange& each, std::string_view reason, time_point now) {
  ports_.log->Write(log_importance::kNotable,
                    log_record("request_waits")
                        .Text("request", each.terms.caller_id)
                        .Text("route", each.matched->name)
                        .Text("reason", reason)
                        .Number("refusals", each.refusals)
                        .Number("left_ms", ToMilliseconds(each.TimeLeft(now)))
                        .Decimal("retries_left", allowance_.Remaining(each.service->name, now)));
  each.state = exchange_state::kWaiting;
  each.call = {};
  each.call.sent_at = now;
  each.call.stalls_at = now + kStallCheckInterval;
  // The silent upstream may have gone on, and those that refused may have capacity again.
  each.tried.clear();
}

void gateway::LogStall(exchange& each, duration silence, std::string_view outcome, time_point now) {
  // One line a stall: a call that waits is considered again many times.
  if (each.call.stalled && outcome != "moves") return;
  each.call.stalled = true;
  const fleet_upstream* row = fleet_.Find(each.call.upstream);
  ports_.log->Write(log_importance::kNotable,
                    log_record("call_stalled")
                        .Text("request", each.terms.caller_id)
                        .Text("route", each.matched->name)
                        .Text("upstream", row == nullptr ? "" : row->entry.id)
                        .Text("outcome", outcome)
                        .Number("silent_ms", ToMilliseconds(silence))
                        .Number("after_ms", ToMilliseconds(now - each.call.sent_at))
                        .Number("events", static_cast<std::int64_t>(each.events.events()))
                        .Decimal("retries_left", allowance_.Remaining(each.service->name, now)));
}

}  // namespace hawthorndrum
