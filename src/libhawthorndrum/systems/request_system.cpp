/// The request path: from a caller's request through the queue to its attempts.
#include "systems/request_system.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/metrics_registry.h"
#include "ports/clock.h"
#include "ports/demand_observer.h"
#include "ports/random_source.h"
#include "ports/upstream_port.h"
#include "systems/request_reader.h"
#include "systems/trace_ids.h"
#include "systems/upstream_request.h"
#include "tables/config_view.h"

namespace hawthorndrum {

namespace {

/** How many requests of one upstream group may find no room in a pass before the rest wait. */
constexpr int kMaxUnplacedPerGroup = 8;
/** How often the queue is dispatched when only load reports or the time have changed. */
constexpr duration kDispatchPeriod = milliseconds(10);
constexpr duration kGiveUpCheck = milliseconds(20);
/** How long an attempt without a caller may go on. */
constexpr duration kDetachedTimeout = seconds(60);

refusal ForgedSpill() {
  return {403, outcome::kNotRun, "forged_spill", "X-Spilled-From is for daemons only", {}};
}

refusal Stopping(const http_request& request) {
  refusal why{503, outcome::kNotRun, "stopping", "this daemon is stopping; try again", seconds(1)};
  const bool keyed = !FindHeader(request.headers, "Idempotency-Key").empty();
  if (keyed) why.earlier = earlier_requests::kUnknown;
  return why;
}

}  // namespace

request_system::request_system(const request_ports& ports)
    : ports_(ports),
      routing_(*ports.upstreams, *ports.random, ports.data_centre),
      admission_(requests_, routing_),
      decisions_(*ports.upstreams),
      answers_(ports, decisions_),
      poison_(ports),
      suspect_lock_(ports, requests_, poison_),
      spill_(ports.spill, ports.data_centre, *ports.random, *ports.metrics),
      dropped_events_(ports.metrics->Counter("hawthorndrum_dropped_upstream_events_total")),
      attempts_total_(ports.metrics->Counter("hawthorndrum_attempts_total")),
      retries_total_(ports.metrics->Counter("hawthorndrum_retries_total")),
      resumes_total_(ports.metrics->Counter("hawthorndrum_stream_resumes_total")),
      bad_peer_messages_(ports.metrics->Counter("hawthorndrum_bad_suspect_messages_total")) {}

request_system::~request_system() = default;

void request_system::OnRequest(request_id id, http_request request) {
  const time_point now = ports_.time->Now();
  if (stopping_) return answers_.RefuseUnread(id, Stopping(request));
  const spill_origin origin = spill_.ExtractMark(request);
  if (origin == spill_origin::kForged) return answers_.RefuseUnread(id, ForgedSpill());
  auto read = ReadRequest(id, std::move(request), *ports_.config, now);
  if (!read) return answers_.RefuseUnread(id, read.error());
  read->trace = ReadTraceparent(FindHeader(read->headers, "traceparent"), *ports_.random);
  read->spilled = origin == spill_origin::kOtherDataCentre;
  if (read->spilled) read->priority = 0;
  decisions_.Arrived(*read);
  if (ports_.demand != nullptr && read->service->kind == service_kind::kModel) {
    ports_.demand->OnModelRequest(read->service->model, read->prompt_tokens, read->max_tokens);
  }
  if (poison_.StandingOf(read->fingerprint, now) == fingerprint_standing::kConvicted) {
    return answers_.Fail(*read, Convicted(*read, now));
  }
  routing_.Run(now);
  std::optional<spill_target> spill_to;
  if (const auto why = Admit(*read, now)) {
    spill_to = ChooseSpillTarget(*read, *why, now);
    if (!spill_to) return answers_.Fail(*read, *why);
    read->refused_here = true;
  }
  admission_.Hold(*read);
  timers_.Add(read->deadline, id);
  request_row& row = requests_.Insert(std::move(*read));
  if (spill_to) return SpillOver(row, *spill_to, now);
  if (row.idempotency_key.empty()) return Queue(row, now);
  row.state = request_state::kClaiming;
  ports_.claims->Claim({id, row.service->name, row.idempotency_key, row.fingerprint, row.deadline,
                        row.service->lookup_path},
                       *this);
}

void request_system::OnClaimDecision(const claim_decision& decision) {
  const time_point now = ports_.time->Now();
  request_row* row = requests_.Find(decision.request);
  if (!row || row->state != request_state::kClaiming) {
    // The request has its answer already; nothing was sent for it.
    if (decision.verdict == claim_verdict::kGranted) ports_.claims->ReportNotRun(decision.request);
    return;
  }
  decisions_.Note(row->id, now, "claim decided: " + decision.reason);
  switch (decision.verdict) {
    case claim_verdict::kGranted:
      return OnClaimGranted(*row, now);
    case claim_verdict::kAnswered:
      if (decision.answer.status == 0) {
        return Fail(*row, {409,
                           outcome::kFailed,
                           "already_done",
                           "this key ran before; its answer was too large to keep",
                           {}});
      }
      answers_.WriteAnswer(*row, decision.answer);
      return Erase(row->id);
    case claim_verdict::kUnknown:
      return Fail(*row, {409, outcome::kUnknown, "outcome_unknown", decision.reason, {}});
    case claim_verdict::kNotRun:
      return Fail(
          *row, {503, outcome::kNotRun, "no_claim", decision.reason, seconds(1), decision.earlier});
    case claim_verdict::kMismatch:
      return Fail(*row, {422,
                         outcome::kNotRun,
                         "key_reused",
                         "this Idempotency-Key belongs to another request",
                         {}});
  }
}

void request_system::OnClaimGranted(request_row& request, time_point now) {
  request.claim_held = true;
  Queue(request, now);
}

void request_system::OnCallerGone(request_id id) {
  request_row* row = requests_.Find(id);
  if (!row) return;
  row->caller_gone = true;
  switch (row->state) {
    case request_state::kClaiming:
      ports_.claims->Forget(id);
      return Erase(id);
    case request_state::kQueued:
    case request_state::kBackoff:
      if (row->claim_held) ports_.claims->ReportNotRun(id);
      return Erase(id);
    case request_state::kInFlight:
      if (!row->repeatable) return Detach(*row, ports_.time->Now());
      ports_.upstream->Cancel(row->attempt);
      if (const attempt_row* attempt = attempts_.Find(row->attempt)) {
        CloseAttempt(*attempt, "caller_gone");
      }
      return Erase(id);
    case request_state::kDetached:
      return;
  }
}

void request_system::Run(time_point now) {
  routing_.Run(now);
  admission_.Run(now);
  suspect_lock_.Run(now);
  spill_.Run(now);
  FireTimers(now);
  DispatchQueue(now);
  poison_.Run(now);
}

void request_system::Queue(request_row& request, time_point now) {
  request.state = request_state::kQueued;
  dispatch_needed_ = true;
  admission_.Enqueue(request);
  if (request.attempts == 0) timers_.Add(admission_.LatestSendTime(request, now), request.id);
}

void request_system::FireTimers(time_point now) {
  while (const auto due = timers_.TakeDue(now)) {
    if (request_row* row = requests_.Find(*due)) FireTimer(*row, now);
  }
}

void request_system::FireTimer(request_row& request, time_point now) {
  if (request.state == request_state::kDetached) {
    if (now < request.wake_at) return;
    ports_.upstream->Cancel(request.attempt);
    if (const attempt_row* attempt = attempts_.Find(request.attempt)) {
      CloseAttempt(*attempt, "timeout");
    }
    if (request.claim_held) ports_.claims->ReportUnknown(request.id);
    return Erase(request.id);
  }
  if (now >= request.deadline) return Expire(request);
  if (request.state == request_state::kBackoff && now >= request.wake_at) {
    return Queue(request, now);
  }
  if (request.state == request_state::kQueued && request.attempts == 0) {
    GiveUpOrWait(request, now);
  }
}

void request_system::GiveUpOrWait(request_row& request, time_point now) {
  const time_point give_up = admission_.LatestSendTime(request, now);
  if (now < give_up && now < request.useful_by) {
    return timers_.Add(std::max(give_up, now + kGiveUpCheck), request.id);
  }
  Fail(request,
       {503, outcome::kNotRun, "too_late", "no upstream could answer in time", seconds(1)});
}

void request_system::Expire(request_row& request) {
  refusal why{504, outcome::kNotRun, "deadline", "the deadline has passed", {}};
  if (!request.idempotency_key.empty()) why.retry_after = seconds(1);
  if (request.state == request_state::kClaiming) {
    const claim_decision known = ports_.claims->Forget(request.id);
    // Another attempt with the key has its own outcome, which "not run" must not hide.
    if (known.verdict != claim_verdict::kNotRun) return OnClaimDecision(known);
    why.earlier = known.earlier;
  }
  if (request.state != request_state::kInFlight) return Fail(request, why);
  why.what = outcome::kUnknown;
  if (!request.repeatable) {
    answers_.Fail(request, why);
    return Detach(request, ports_.time->Now());
  }
  ports_.upstream->Cancel(request.attempt);
  if (const attempt_row* attempt = attempts_.Find(request.attempt)) {
    CloseAttempt(*attempt, "deadline");
  }
  request.may_have_run = true;
  Fail(request, why);
}

void request_system::Detach(request_row& request, time_point now) {
  request.state = request_state::kDetached;
  request.wake_at = now + kDetachedTimeout;
  timers_.Add(request.wake_at, request.id);
}

void request_system::DispatchQueue(time_point now) {
  if (admission_.queued() == 0) return;
  if (!dispatch_needed_ && now - dispatched_ < kDispatchPeriod) return;
  dispatch_needed_ = false;
  dispatched_ = now;
  const std::vector<request_id> order = admission_.InOrder(now);
  std::vector<std::pair<std::uint64_t, int>> unplaced_counts;
  std::vector<request_id> suspects;
  for (const request_id id : order) {
    request_row* row = requests_.Find(id);
    if (!row || row->state != request_state::kQueued || !admission_.MayOpen(*row)) continue;
    if (poison_.StandingOf(row->fingerprint, now) != fingerprint_standing::kClear) {
      suspects.push_back(id);
      continue;
    }
    const std::uint64_t group = upstream_index::KeyOf(*row->service);
    auto unplaced = std::find_if(unplaced_counts.begin(), unplaced_counts.end(),
                                 [&](const auto& one) { return one.first == group; });
    if (unplaced != unplaced_counts.end() && unplaced->second >= kMaxUnplacedPerGroup) continue;
    const auto choice = routing_.Choose(*row, now);
    if (choice && admission_.HasRoom(*row, choice->best().estimate, now)) {
      Dispatch(*row, *choice, now);
      continue;
    }
    if (const auto spill_to = choice ? std::nullopt : spill_.Choose(*row, now)) {
      SpillOver(*row, *spill_to, now);
      continue;
    }
    if (!choice && row->attempts > 0 && !routing_.HasUntried(*row)) {
      Fail(*row, {503, outcome::kNotRun, "no_other_upstream",
                  "every upstream of the service was tried", seconds(1)});
      continue;
    }
    if (unplaced == unplaced_counts.end())
      unplaced = unplaced_counts.insert(unplaced_counts.end(), {group, 0});
    unplaced->second += 1;
  }
  DispatchSuspect(suspects, now);
}

void request_system::Dispatch(request_row& request, const routing_choice& choice, time_point now) {
  const routing_candidate& best = choice.best();
  const upstream* target = ports_.upstreams->Find(best.upstream);
  admission_.Dequeue(request.id);
  admission_.OnAttemptOpened(request, now);
  attempts_total_.Add();
  if (request.attempts == 0) retries_.Earn(request.service->name);
  attempt_row attempt;
  attempt.id = attempt_id(ports_.random->Draw());
  attempt.request = request.id;
  attempt.upstream = best.upstream;
  attempt.upstream_incarnation = target->report.engine_incarnation;
  attempt.sent = now;
  attempt.prefill_tokens = best.prefill_tokens;
  attempt.estimated_first_token = request.stream ? best.estimate.first_token : best.estimate.whole;
  attempt.estimated_whole = best.uncorrected_whole;
  attempt.span = ports_.random->Draw();
  request.state = request_state::kInFlight;
  request.attempt = attempt.id;
  request.attempts += 1;
  request.tried.push_back(best.upstream);
  request.preferred = upstream_id();
  routing_.work().Sent(best.upstream, attempt.id, best.prefill_tokens, now);
  decisions_.Routed(request.id, now, choice);
  const std::string address = target->address;
  http_request out = UpstreamRequest(request, attempt);
  const attempt_id id = attempt.id;
  attempts_.Insert(std::move(attempt));
  ports_.upstream->Send(id, address, std::move(out));
}

void request_system::Fail(request_row& request, refusal why) {
  if (request.may_have_run && why.what == outcome::kNotRun) why.what = outcome::kUnknown;
  if (request.claim_held) {
    if (request.may_have_run) {
      ports_.claims->ReportUnknown(request.id);
    } else {
      ports_.claims->ReportNotRun(request.id);
    }
  }
  if (!request.caller_gone) answers_.Fail(request, why);
  Erase(request.id);
}

void request_system::Erase(request_id id) {
  const request_row* row = requests_.Find(id);
  if (!row) return;
  admission_.Dequeue(id);
  admission_.Release(*row);
  if (row->spilled) spill_.ReleaseAdmitted(*row->service);
  requests_.Erase(id);
}

}  // namespace hawthorndrum
