/// Forwards upstreams' answers to callers.
#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
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

constexpr int kStreamStatus = 200;
constexpr std::string_view kStreamType = "text/event-stream";
/** Maximum size of a buffered answer; no plain service sends larger ones. */
constexpr std::size_t kMaxAnswerBytes = 16 * 1024 * 1024;
/** A prefill's answer only names what the engine keeps. */
constexpr std::size_t kMaxPrefillAnswerBytes = 64 * 1024;
/** Minimum silence in mid-stream after which the stream may move to another upstream. */
constexpr duration kMinEventStall = milliseconds(1000);
constexpr int kStallPauses = 4;
/** Decay of the refusal share with each answer. */
constexpr double kRefusalDecay = 0.1;
constexpr double kFailureWeight = 0.1;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

/** Returns whether the status means to callers that the request has not run. */
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void gateway::OnAttemptHead(const attempt_head& head) {
  exchange* each = FindByAttempt(head.attempt);
  if (each == nullptr) return;
  const time_point now = ports_.time->Now();
  if (each->state == exchange_state::kPassedOn) return OnPassedOnHead(*each, head);
  heard_at_ = now;
  each->call.head_seen = true;
  each->answer.terms = ports_.dialect->ReadAnswer(head.status, head.headers);
  each->answer.headers = head.headers;
  each->answer.body.clear();
  // An engine that runs the request has fetched the prefilled prompt.
  if (each->state == exchange_state::kRunning && !each->answer.terms.not_run) each->handle.reset();
  fleet_upstream* row = fleet_.Find(each->call.upstream);
  if (row != nullptr) statements_.Heed(*each, *row, now);
  if (row != nullptr && !each->answer.terms.is_wrong_upstream) {
    row->last_active_at = now;
    row->heard_here_at = now;
    row->failures = 0;
    // Connections that were open before a cut may go on.
    if (!cut_off_.IsCutOff(row->entry.service)) reachability_.OnAnswer(*row, now);
    if (!each->answer.terms.not_run) {
      row->refusal_share *= 1 - kRefusalDecay;
      row->refusals = 0;
    }
  }
}

void gateway::OnAttemptBytes(const attempt_bytes& bytes) {
  exchange* each = FindByAttempt(bytes.attempt);
  if (each == nullptr) return;
  each->call.answer_bytes += bytes.bytes.size();
  const bool passed_on = each->state == exchange_state::kPassedOn;
  if (!passed_on) heard_at_ = ports_.time->Now();
  if (fleet_upstream* row = fleet_.Find(each->call.upstream)) {
    row->last_active_at = ports_.time->Now();
    row->heard_here_at = ports_.time->Now();
  }
  const answer_terms& terms = each->answer.terms;
  const bool success = IsSuccess(terms.status) && terms.sealed;
  if (success || each->state == exchange_state::kPrefilling)
    RecordFirstByte(*each, ports_.time->Now());
  if (IsEventStream(*each)) return RelayEvents(*each, bytes.bytes);
  each->call.stalled = false;
  each->call.progress_at = ports_.time->Now();
  each->answer.body += bytes.bytes;
  flow_.SetHeld(each->id, each->answer.body.size());
  if (FitsBuffer(*each)) return;
  ports_.upstreams->Cancel(each->call.attempt);
  if (passed_on) return FailUnknown(*each, "answer_too_large", 502);
  Recover(*each, {"answer_too_large", true, false, false}, ports_.time->Now());
}

bool gateway::IsEventStream(const exchange& each) {
  const answer_terms& terms = each.answer.terms;
  const bool is_upstreams = each.state == exchange_state::kRunning ||
                            (each.state == exchange_state::kPassedOn &&
                             each.answer.relayed.outcome == relay_outcome::kAnswered);
  const std::string_view type = FindHeader(each.answer.headers, "Content-Type");
  return is_upstreams && each.is_stream() && terms.status == kStreamStatus && terms.sealed &&
         (type.empty() || boost::algorithm::istarts_with(type, kStreamType));
}

bool gateway::FitsBuffer(const exchange& each) const {
  const std::size_t size = each.answer.body.size();
  if (each.state == exchange_state::kPrefilling) return size <= kMaxPrefillAnswerBytes;
  return size <= kMaxAnswerBytes && flow_.MayBuffer(size);
}

void gateway::RelayEvents(exchange& each, std::string_view bytes) {
  const time_point now = ports_.time->Now();
  std::string complete_events;
  event_fault fault = each.events.Feed(bytes, complete_events);
  each.call.has_part = complete_events.empty();
  // Bytes that complete no event are no progress: a stalled upstream may send some now and then.
  if (!complete_events.empty()) ForwardEvents(each, complete_events, now);
  if (const std::size_t incomplete = each.events.incomplete_bytes(); incomplete > 0) {
    CountStream(each, ports_.callers->UnsentBytes(each.id));
    if (fault == event_fault::kNone && !flow_.MayBuffer(incomplete)) fault = event_fault::kTooLong;
  }
  if (fault == event_fault::kNone) return;
  ports_.upstreams->Cancel(each.call.attempt);
  if (each.state == exchange_state::kPassedOn) return FailUnknown(each, NameOf(fault), 502);
  Recover(each, {NameOf(fault), true, false, false}, now);
}

void gateway::ForwardEvents(exchange& each, std::string_view events, time_point now) {
  const bool runs_here = each.state == exchange_state::kRunning;
  if (runs_here && now - each.call.first_byte_at >= crash_recorder::kLivedOn)
    crash_recorder_.RecordLivedOn(each, now);
  each.call.stalled = false;
  each.call.progress_at = now;
  each.call.stall_timeout =
      std::max<duration>(kMinEventStall, kStallPauses * each.matched->longest_pause);
  each.call.stalls_at = now + each.call.stall_timeout;
  if (!each.head_sent) {
    each.head_sent = true;
    each.first_event_at = now;
    if (runs_here) RecordOrigin(each, now);
    BeginAnswer(each);
  } else {
    const duration interval = now - each.last_event_at;
    each.longest_pause = std::max(each.longest_pause, interval);
    if (runs_here) speeds_.ObserveInterval(each.service->name, interval);
  }
  each.last_event_at = now;
  ports_.callers->Write(each.id, events);
  FollowCaller(each, now);
}

void gateway::CountStream(const exchange& each, std::size_t unsent) {
  flow_.SetHeld(each.id, each.answer.body.size() + each.events.incomplete_bytes() + unsent);
}

void gateway::FollowCaller(exchange& each, time_point now) {
  const std::size_t unsent = ports_.callers->UnsentBytes(each.id);
  const bool paused = flow_.IsPaused(each.call.paused, unsent);
  CountStream(each, unsent);
  // The upstream's silence is no stall while it is not read.
  if (paused || each.call.paused) each.call.stalls_at = now + each.call.stall_timeout;
  if (paused == each.call.paused) return;
  each.call.paused = paused;
  ports_.upstreams->SetPaused(each.call.attempt, paused);
  ports_.metrics->Counter("gateway_slow_callers_total").Add(paused ? 1 : 0);
  ports_.log->Write(log_importance::kNotable,
                    log_record(paused ? "upstream_paused" : "upstream_resumed")
                        .Text("request", each.terms.caller_id)
                        .Number("unsent_bytes", static_cast<std::int64_t>(unsent))
                        .Number("held_bytes", static_cast<std::int64_t>(flow_.held())));
}

void gateway::OnAttemptFinished(const attempt_finished& finished) {
  exchange* each = FindByAttempt(finished.attempt);
  if (each == nullptr) return;
  const time_point now = ports_.time->Now();
  each->call.ended_by_close = finished.by_close;
  if (each->state == exchange_state::kPassedOn) return FinishPassedOn(*each, now);
  if (each->state == exchange_state::kPrefilling) return FinishPrefill(*each, now);
  if (IsEventStream(*each)) return FinishStream(*each, now);
  FinishPlain(*each, now);
}

void gateway::FinishPrefill(exchange& each, time_point now) {
  fleet_upstream* prefill_engine = fleet_.Find(each.call.upstream);
  const answer_terms& terms = each.answer.terms;
  auto name = ports_.dialect->ReadHandleName(each.answer.body);
  if (!IsSuccess(terms.status) || !name || prefill_engine == nullptr) {
    if (!terms.not_run) return Recover(each, {"reader_failed", true, false, false}, now);
    if (terms.is_wrong_upstream && prefill_engine != nullptr)
      OnUpstreamReplaced(*prefill_engine, terms, now);
    return Recover(each, {kRefusedByUpstream, false, terms.is_wrong_upstream, false}, now);
  }
  const std::string address = prefill_engine->entry.address;
  each.prefilled_by = prefill_engine->id;
  Release(each);
  if (each.caller_gone) {
    each.handle = kv_handle{address, std::move(*name)};
    DropHandle(each);
    return Close(each, "caller_gone", 0);
  }
  each.handle = kv_handle{address, std::move(*name)};
  SendPrefilledPrompt(each, now);
}

void gateway::SendPrefilledPrompt(exchange& each, time_point now) {
  // The engine chosen before the prefill may be full or gone by now.
  const auto place = Place(each, now);
  if (place) return SendRun(each, place->runs_at, 0, place->expected, now);
  Refuse(each, place.error());
}

void gateway::FinishStream(exchange& each, time_point now) {
  // An upstream that crashes closes its connections, which would end such an answer.
  const bool resumes = each.events.events() > 0 || !each.terms.last_event_id.empty();
  const bool has_no_event = each.call.ended_by_close && !each.call.first_byte_seen && !resumes;
  if (!each.events.between_events() || has_no_event) {
    if (each.call.ended_by_close) crash_recorder_.RecordCrash(each, now);
    return Recover(each, {"ended_inside_an_event", true, false, false}, now);
  }
  crash_recorder_.RecordLivedOn(each, now);
  if (!each.head_sent) BeginAnswer(each);
  crossing_meter_.OnAnswer(each.matched->name, each.call.answer_bytes);
  ports_.callers->End(each.id);
  Close(each, kAnswered, each.answer.terms.status);
}

void gateway::OnUpstreamReplaced(const fleet_upstream& row, const answer_terms& terms,
                                 time_point now) {
  if (terms.upstream.empty() || terms.upstream == row.entry.id) return;
  ports_.log->Write(log_importance::kImportant, log_record("upstream_replaced")
                                                    .Text("upstream", row.entry.id)
                                                    .Text("by", terms.upstream)
                                                    .Text("address", row.entry.address));
  // That instance has ended; if not, the host list adds it again.
  fleet_.Remove(row.entry.id, now);
}

bool gateway::IsDeliverable(const exchange& each) const {
  const answer_terms& terms = each.answer.terms;
  if (terms.not_run || PromisesNotRun(terms.status)) return false;
  return terms.sealed || !IsSuccess(terms.status);
}

bool gateway::BreaksOffAfterHead(const exchange& each) {
  const answer_terms& terms = each.answer.terms;
  return each.call.ended_by_close && each.call.answer_bytes == 0 && IsSuccess(terms.status) &&
         !terms.not_run;
}

void gateway::FinishPlain(exchange& each, time_point now) {
  const answer_terms& terms = each.answer.terms;
  fleet_upstream* row = fleet_.Find(each.call.upstream);
  if (row != nullptr && !terms.not_run) {
    const double failed = terms.status >= 500 ? 1 : 0;
    row->failure_share += kFailureWeight * (failed - row->failure_share);
    if (!each.is_engine()) {
      RecordLinkResult(each, *row, now - each.call.sent_at, now);
      service_placement::Observe(*row, now - each.call.sent_at);
    }
  }
  if (BreaksOffAfterHead(each)) {
    crash_recorder_.RecordCrash(each, now);
    return Recover(each, {"ended_after_head", true, true, false}, now);
  }
  // An upstream may fail a request before it begins an answer.
  if (!terms.not_run && IsSuccess(terms.status)) crash_recorder_.RecordLivedOn(each, now);
  if (terms.not_run) {
    if (row != nullptr && terms.is_wrong_upstream) OnUpstreamReplaced(*row, terms, now);
    // The host list shows the change later; until then no other call should go there.
    return Recover(each, {kRefusedByUpstream, false, terms.is_wrong_upstream, false}, now);
  }
  if (!IsDeliverable(each)) return Recover(each, {"answer_unusable", true, false, false}, now);
  const bool failed = terms.status >= 500;
  if (failed && each.matched->is_idempotent()) {
    return Recover(each, {"upstream_error", true, false, true}, now);
  }
  // An answer that is no stream cannot continue one.
  if (each.head_sent) return Recover(each, {"answer_unusable", true, false, false}, now);
  Deliver(each);
}

void gateway::AbortStream(exchange& each) {
  ports_.callers->Abort(each.id);
  Close(each, "cut", each.answer.terms.status);
}

void gateway::Deliver(exchange& each) {
  if (each.head_sent) return AbortStream(each);
  const int status = each.answer.terms.status;
  crossing_meter_.OnAnswer(each.matched->name, each.answer.body.size());
  AnswerCaller(each, {status, each.answer.headers, std::move(each.answer.body)},
               relay_outcome::kAnswered);
  Close(each, IsSuccess(status) ? kAnswered : "upstream_error", status);
}

}  // namespace hawthorndrum
