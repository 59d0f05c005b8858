/// Passes requests on to other daemons while this one reaches no upstream, and serves theirs.
#include <algorithm>
#include <optional>
#include <utility>

#include "base/hash.h"
#include "base/log_record.h"
#include "base/metrics_registry.h"
#include "gateway/gateway.h"
#include "gateway/upstream_calls.h"
#include "ports/caller_port.h"
#include "ports/clock.h"
#include "ports/event_log.h"
#include "ports/random_source.h"
#include "relay/relay_headers.h"

namespace hawthorndrum {

namespace {

/** Daemons that are asked to serve one request. */
constexpr std::size_t kMaxDaemonsAsked = 4;
/** Requests of other daemons that are served at once, beside those of own callers. */
constexpr std::ptrdiff_t kMaxTakenOver = 256;
/** Maximum idle time of a connection to a daemon that is reused. */
constexpr duration kMaxIdle = seconds(8);
constexpr duration kMaxIdleForFinal = seconds(1);
/** Beyond its objective a daemon may be silent for this long before it counts as unreachable. */
constexpr duration kSilenceSlack = milliseconds(800);
constexpr duration kRetryAfterDeclined = milliseconds(500);

}  // namespace

bool gateway::IsForLackOfUpstreams(std::string_view reason) {
  return reason == kNoUpstream || reason == kNoEngine || reason == kNotConnected;
}

relay_outcome gateway::OutcomeOf(const exchange& each, std::string_view reason) const {
  if (reason == kLacksResources) return relay_outcome::kUnavailable;
  if (!IsForLackOfUpstreams(reason)) return relay_outcome::kRefused;
  const bool is_cut_off = cut_off_.IsCutOff(each.service->name);
  return is_cut_off ? relay_outcome::kUnavailable : relay_outcome::kDeclined;
}

bool gateway::ShouldPassOn(const exchange& each, time_point now) const {
  return cut_off_.IsCutOff(each.service->name) && cut_off_.PeersMayReach(each.service->name, now);
}

bool gateway::MayPassOn(const exchange& each, time_point now) const {
  if (each.from_peer || each.caller_gone || each.passed_to.size() >= kMaxDaemonsAsked) return false;
  if (each.TimeLeft(now) < exchange::kMinTimeForAttempt) return false;
  if (each.runs > 0 && !each.matched->is_idempotent()) return false;
  if (each.runs >= each.matched->attempts) return false;
  if (each.head_sent && !each.matched->resumable) return false;
  return cut_off_.PeersMayReach(each.service->name, now) &&
         !crash_recorder_.CrashesUpstreams(each, now);
}

bool gateway::PassOn(exchange& each, time_point now) {
  if (!MayPassOn(each, now)) return false;
  const auto peer = relay_peers_.Choose(each.passed_to, now);
  if (!peer) return false;
  // The prompt is prefilled anew, which is an extra call unless no engine was asked before.
  if (each.sent_to_prefill && !allowance_.Spend(each.service->name, now)) return false;
  each.sent_to_prefill = false;
  DropHandle(each);
  relay_terms terms;
  terms.host = ports_.host;
  terms.time_left = each.TimeLeft(now);
  terms.runs = each.runs;
  terms.earned = each.earned;
  terms.build = each.build;
  terms.team = each.team;
  const std::string& last_event = each.events.last_id();
  terms.last_event_id = last_event.empty() ? each.terms.last_event_id : last_event;
  each.state = exchange_state::kPassedOn;
  each.runs += 1;
  each.passed_to.push_back(peer->name);
  each.answer = {};
  each.call = {};
  each.call.attempt = attempt_id(ports_.random->Draw());
  each.call.sent_at = now;
  each.call.stall_timeout = each.matched->objective + kSilenceSlack;
  each.call.stalls_at = now + each.call.stall_timeout;
  attempts_[each.call.attempt] = each.id;
  relay_peers_.OnSent(peer->name);
  ports_.metrics->Counter("gateway_passed_on_total").Add();
  ports_.log->Write(log_importance::kRoutine,
                    log_record("request_passed_on")
                        .Text("request", each.terms.caller_id)
                        .Text("route", each.matched->name)
                        .Text("to", peer->name)
                        .Number("asked", static_cast<std::int64_t>(each.passed_to.size()))
                        .Number("runs", terms.runs)
                        .Number("left_ms", ToMilliseconds(terms.time_left)));
  upstream_call call;
  call.attempt = each.call.attempt;
  call.address = peer->notices_address;
  call.upstream = upstream_id(Hash64(peer->name));
  call.caller_id = each.terms.caller_id;
  // A daemon's own refusals do not carry it, and daemons answer each request once.
  call.answers_carry_id = false;
  call.longest_idle = each.matched->is_idempotent() ? kMaxIdle : kMaxIdleForFinal;
  call.request = each.request;
  SetRelayTerms(terms, call.request.headers);
  ports_.upstreams->Send(std::move(call));
  return true;
}

void gateway::OnPassedOnHead(exchange& each, const attempt_head& head) {
  const time_point now = ports_.time->Now();
  std::vector<http_header> headers = head.headers;
  const relay_answer said = TakeRelayAnswer(headers);
  each.call.head_seen = true;
  each.answer.terms = ports_.dialect->ReadAnswer(head.status, headers);
  each.answer.headers = std::move(headers);
  each.answer.body.clear();
  each.answer.relayed = said;
  relay_peers_.OnAnswered(each.passed_to.back());
  if (said.outcome != relay_outcome::kAnswered) return;
  // The caller now knows what the upstream says of itself, so this daemon must heed it as well.
  fleet_upstream* row = fleet_.Find(said.upstream);
  if (row != nullptr && each.answer.terms.leaving) statements_.HeedLeaving(*row, now);
}

void gateway::FinishPassedOn(exchange& each, time_point now) {
  const answer_terms& terms = each.answer.terms;
  switch (each.answer.relayed.outcome) {
    case relay_outcome::kRefused:
    case relay_outcome::kDeclined:
    case relay_outcome::kUnavailable:
      return OnNotRunElsewhere(each, now);
    case relay_outcome::kUnknown:
      return FailUnknown(each, "unknown_elsewhere", terms.status == 504 ? 504 : 502);
    case relay_outcome::kAnswered:
      break;
  }
  // Daemons name a length or send chunks.
  if (each.call.ended_by_close) return FailUnknown(each, kConnectionLost, 502);
  if (!IsEventStream(each)) {
    if (!IsDeliverable(each)) return FailUnknown(each, "answer_unusable", 502);
    return Deliver(each);
  }
  if (!each.events.between_events()) return FailUnknown(each, "ended_inside_an_event", 502);
  if (!each.head_sent) BeginAnswer(each);
  ports_.callers->End(each.id);
  Close(each, kAnswered, terms.status);
}

void gateway::OnNotRunElsewhere(exchange& each, time_point now) {
  const relay_outcome outcome = each.answer.relayed.outcome;
  const bool declined = outcome != relay_outcome::kRefused;
  each.runs -= 1;
  if (outcome == relay_outcome::kUnavailable)
    relay_peers_.OnUnavailable(each.passed_to.back(), now);
  Release(each);
  if (each.caller_gone) return Close(each, "caller_gone", 0);
  if (declined) {
    if (PassOn(each, now)) return;
    each.state = exchange_state::kRunning;
    return Refuse(each, {"declined_elsewhere", kRetryAfterDeclined});
  }
  if (each.head_sent) return AbortStream(each);
  if (each.runs > 0) return FailUnknown(each, "refused_elsewhere", 502);
  ports_.metrics->Counter("gateway_refused_total", MetricLabel("reason", "refused_elsewhere"))
      .Add();
  ports_.log->Write(log_importance::kNotable, log_record("request_refused")
                                                  .Text("request", each.terms.caller_id)
                                                  .Text("reason", "refused_elsewhere")
                                                  .Text("route", each.matched->name)
                                                  .Text("by", each.passed_to.back())
                                                  .Number("status", 503));
  ports_.callers->Answer(each.id, {503, each.answer.headers, std::move(each.answer.body)});
  Close(each, "refused", 503);
}

void gateway::RecoverPassedOn(exchange& each, const attempt_lost& lost, time_point now) {
  const std::string host = each.passed_to.back();
  // After the head it may have closed the connection because its upstream broke the answer off.
  if (!each.call.head_seen) relay_peers_.OnUnreachable(host, now);
  ports_.log->Write(log_importance::kNotable,
                    log_record("relay_failed")
                        .Text("request", each.terms.caller_id)
                        .Text("to", host)
                        .Flag("may_have_run", lost.bytes_sent)
                        .Number("after_ms", ToMilliseconds(now - each.call.sent_at))
                        .Number("events", static_cast<std::int64_t>(each.events.events())));
  Release(each);
  each.events.DropIncomplete();
  if (each.caller_gone) return Close(each, "caller_gone", 0);
  // A daemon that is lost may have used up all attempts of the request.
  if (lost.bytes_sent) return FailUnknown(each, kConnectionLost, 502);
  each.runs -= 1;
  if (PassOn(each, now)) return;
  each.state = exchange_state::kRunning;
  Refuse(each, {"no_daemon_reached", kRetryAfterDeclined});
}

void gateway::StallPassedOn(exchange& each, time_point now) {
  each.call.stall_timeout = std::max<duration>(each.call.stall_timeout, kSilenceSlack);
  each.call.stalls_at = now + each.call.stall_timeout;
  if (each.call.head_seen) return;
  relay_peers_.OnSilent(each.passed_to.back(), now);
}

void gateway::OnPassedOn(request_id id, http_request request) {
  const auto relayed = TakeRelayTerms(request.headers);
  caller_terms terms = ports_.dialect->TakeCallerTerms(request);
  arrived_request arrived{id, std::move(request), std::move(terms), ports_.time->Now(),
                          relayed.value_or(relay_terms())};
  if (!relayed) return RefuseUnplaced(arrived, 503, "relay_malformed", duration(0));
  if (!is_ready()) return RefuseUnplaced(arrived, 503, kNotStarted, kRetryAfterDeclined);
  if (!flow_.MayTake(arrived.request))
    return RefuseUnplaced(arrived, 503, kHostFull, kRetryAfterDeclined);
  const auto taken = std::count_if(exchanges_.begin(), exchanges_.end(),
                                   [](const auto& entry) { return entry.second.from_peer; });
  if (taken >= kMaxTakenOver) return RefuseUnplaced(arrived, 503, kRelayFull, kRetryAfterDeclined);
  ports_.metrics->Counter("gateway_taken_over_total").Add();
  ports_.log->Write(log_importance::kRoutine,
                    log_record("request_taken_over")
                        .Text("request", arrived.terms.caller_id)
                        .Text("from", relayed->host)
                        .Number("runs", relayed->runs)
                        .Number("left_ms", ToMilliseconds(relayed->time_left)));
  arrived.terms.time_limit = relayed->time_left;
  arrived.terms.last_event_id = relayed->last_event_id;
  const std::optional<software_build> build =
      relayed->build ? std::optional(relayed->build) : std::nullopt;
  Admit(std::move(arrived), build);
}

void gateway::AnswerCaller(const exchange& each, http_answer answer, relay_outcome outcome) {
  if (each.from_peer) SetRelayAnswer({outcome, each.call.upstream}, answer.headers);
  ports_.callers->Answer(each.id, std::move(answer));
}

void gateway::BeginAnswer(const exchange& each) {
  std::vector<http_header> headers = each.answer.headers;
  if (each.from_peer) SetRelayAnswer({relay_outcome::kAnswered, each.call.upstream}, headers);
  ports_.callers->Begin(each.id, each.answer.terms.status, std::move(headers));
}

void gateway::CheckSilence(time_point now) {
  const time_point heard_at = std::max(heard_at_, reads_since_);
  if (now - heard_at < cut_off_detector::kSuspiciousSilence) return;
  for (const auto& [id, each] : exchanges_) {
    const bool is_open =
        each.state == exchange_state::kPrefilling || each.state == exchange_state::kRunning;
    if (is_open && now - each.call.sent_at >= cut_off_detector::kSuspiciousSilence)
      cut_off_.OnSilence(each.service->name, now);
  }
}

}  // namespace hawthorndrum
