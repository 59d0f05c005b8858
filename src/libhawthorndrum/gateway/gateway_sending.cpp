/// Sends requests to upstreams and reserves the capacity that they take there.
#include <algorithm>
#include <utility>

#include "base/log_record.h"
#include "base/scaled.h"
#include "gateway/gateway.h"
#include "gateway/gateway_meters.h"
#include "gateway/upstream_calls.h"
#include "ports/clock.h"
#include "ports/event_log.h"
#include "ports/random_source.h"
#include "usage/usage_meter.h"

namespace hawthorndrum {

namespace {

/** Maximum idle time of a reused connection when the request may run twice. */
constexpr duration kMaxIdle = seconds(8);
/** Shorter if the request must not run twice: upstreams close idle connections silently. */
constexpr duration kMaxIdleForFinal = seconds(1);
/** Multiples of the expected time after which an upstream counts as stalled. */
constexpr double kStallFactor = 3;
constexpr duration kStallSlack = milliseconds(800);
/** Multiple of the usual answer time after which a plain service counts as stalled. */
constexpr double kPlainStallFactor = 5;
constexpr int kMostUrgent = 1;
constexpr int kLeastUrgent = 9;

/** Returns a name for the prompt's shared parts. */
std::string PromptGroup(const exchange& each) {
  if (!each.terms.asked) return {};
  char text[24];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(each.terms.asked->shared_key()));
  return text;
}

}  // namespace

int gateway::UpstreamPriority(const exchange& each, bool fetches) const {
  // A prompt prefilled elsewhere needs no prefill here, so it delays no other request.
  if (fetches) return kMostUrgent;
  const int rank = each.priority + (each.is_behind_others ? 1 : 0);
  return std::min(kMostUrgent + 1 + rank, kLeastUrgent);
}

void gateway::SendPrefill(exchange& each, const placement& place, time_point now) {
  fleet_upstream* row = fleet_.Find(place.prefills_at);
  each.state = exchange_state::kPrefilling;
  each.sent_to_prefill = true;
  each.call = {};
  each.call.reserved.running = 1;
  each.call.reserved.unread_tokens = place.unread_tokens;
  each.call.reserved.memory_tokens = each.terms.asked->tokens();
  each.call.stall_timeout = Scaled(place.expected, kStallFactor) + kStallSlack;
  each.call.stalls_at = now + each.call.stall_timeout;
  row->cache.RecordPrompt(*each.terms.asked, now);
  demand_.AddPrefill(each.service->name, place.unread_tokens, now);
  run_terms terms;
  terms.prefill_only = true;
  Open(each, *row, terms, now);
}

void gateway::SendRun(exchange& each, upstream_id at, std::uint64_t unread, duration expected,
                      time_point now) {
  fleet_upstream* row = fleet_.Find(at);
  each.state = exchange_state::kRunning;
  each.runs += 1;
  each.tried.push_back(at);
  each.answer = {};
  each.call = {};
  each.call.reserved.running = 1;
  run_terms terms;
  if (each.is_engine()) {
    const prompt& asked = *each.terms.asked;
    each.call.reserved.unread_tokens = unread;
    each.call.reserved.memory_tokens = asked.tokens() + asked.output_tokens;
    row->cache.RecordPrompt(asked, now);
    terms.fetch_from = each.handle;
    if (each.handle) each.call.reserved.fetching_tokens = asked.tokens();
    each.call.stall_timeout =
        std::max(Scaled(expected, kStallFactor) + kStallSlack, each.matched->objective);
  } else {
    const duration usual = Scaled(row->answer_time, kPlainStallFactor);
    each.call.stall_timeout = std::max(usual, each.matched->objective / 2);
  }
  each.call.stalls_at = now + each.call.stall_timeout;
  terms.last_event_id =
      each.events.last_id().empty() ? each.terms.last_event_id : each.events.last_id();
  Open(each, *row, terms, now);
}

void gateway::Open(exchange& each, fleet_upstream& row, const run_terms& partial, time_point now) {
  run_terms terms = partial;
  terms.upstream = row.entry.id;
  terms.time_left = each.TimeLeft(now);
  terms.priority = UpstreamPriority(each, terms.fetch_from.has_value());
  each.call.attempt = attempt_id(ports_.random->Draw());
  each.call.upstream = row.id;
  each.call.build = row.build;
  each.call.sent_at = now;
  const upstream_work before = row.all_work();
  each.call.queued_tokens = before.unread_tokens + each.call.reserved.unread_tokens;
  row.own += each.call.reserved;
  statement_handler::SpaceTrials(row, now);
  row.said.limit.Take(now);
  attempts_[each.call.attempt] = each.id;
  ports_.log->Write(
      log_importance::kRoutine,
      log_record(terms.prefill_only ? "prompt_sent" : "run_sent")
          .Text("request", each.terms.caller_id)
          .Text("route", each.matched->name)
          .Text("upstream", row.entry.id)
          .Text("software", row.entry.software_version)
          .Number("run", each.runs)
          .Number("left_ms", ToMilliseconds(terms.time_left))
          .Number("unread_tokens", static_cast<std::int64_t>(each.call.reserved.unread_tokens))
          .Number("waiting_tokens", static_cast<std::int64_t>(before.unread_tokens))
          .Number("running", before.running)
          .Number("peers_running", row.peers.running)
          .Decimal("tokens_per_ms", speeds_.TokensPerMs(row, now))
          .Text("prompt_group", PromptGroup(each))
          .Flag("fetches", terms.fetch_from.has_value())
          .Number("config", static_cast<std::int64_t>(each.config->version)));
  upstream_call call;
  call.attempt = each.call.attempt;
  call.address = row.entry.address;
  call.upstream = row.id;
  call.caller_id = each.terms.caller_id;
  const bool final = !each.matched->is_idempotent() && !terms.prefill_only;
  call.longest_idle = final ? kMaxIdleForFinal : kMaxIdle;
  call.request = ports_.dialect->WriteRun(each.request, terms);
  ports_.upstreams->Send(std::move(call));
}

void gateway::Release(exchange& each) {
  const bool was_open = attempts_.erase(each.call.attempt) > 0;
  if (was_open && each.state == exchange_state::kPassedOn)
    relay_peers_.OnEnded(each.passed_to.back());
  if (fleet_upstream* row = fleet_.Find(each.call.upstream)) {
    row->own -= each.call.reserved;
    if (was_open) RecordCrossingBytes(each, *row);
  }
  each.call.reserved = {};
}

void gateway::Cancel(exchange& each) {
  ports_.upstreams->Cancel(each.call.attempt);
  Release(each);
}

void gateway::DropHandle(exchange& each) {
  if (!each.handle) return;
  // A handle that is not dropped expires.
  const fleet_upstream* row = fleet_.Find(each.prefilled_by);
  const bool may_call = row == nullptr || !row->said.WantsNothing(ports_.time->Now());
  if (may_call)
    ports_.upstreams->Notify(each.handle->address, ports_.dialect->WriteDrop(*each.handle));
  each.handle.reset();
}

void gateway::RecordFirstByte(exchange& each, time_point now) {
  if (each.call.first_byte_seen) return;
  each.call.first_byte_seen = true;
  each.call.first_byte_at = now;
  if (each.state == exchange_state::kRunning && !each.began) {
    each.began = true;
    if (ports_.usage != nullptr) ports_.usage->OnRequestBegan(each.team, now);
  }
  fleet_upstream* row = fleet_.Find(each.call.upstream);
  if (row == nullptr) return;
  const duration taken = now - each.call.sent_at;
  if (each.is_engine()) RecordLinkResult(each, *row, taken, now);
  if (each.call.reserved.unread_tokens > 0) {
    observed_prefill prefill;
    prefill.tokens = each.call.reserved.unread_tokens;
    prefill.queued = each.call.queued_tokens - prefill.tokens;
    prefill.certain_tokens = each.terms.asked->parts.back().tokens;
    prefill.possible_tokens = each.terms.asked->tokens();
    speeds_.Observe(*row, prefill, taken, now);
  }
  row->own.unread_tokens -= each.call.reserved.unread_tokens;
  row->own.fetching_tokens -= each.call.reserved.fetching_tokens;
  each.call.reserved.unread_tokens = 0;
  each.call.reserved.fetching_tokens = 0;
  if (each.state == exchange_state::kRunning) {
    MetersOf(*each.matched).first_byte.Record(now - each.arrived);
  }
}

}  // namespace hawthorndrum
