/// Arrivals, calls between the daemon and the engine models, and what callers get.
#include "mix_fleet.h"

#include <algorithm>
#include <cmath>

namespace hawthorndrum {

namespace {

constexpr double kTickMs = 2;
constexpr double kPlanEveryMs = 500;
/** One way between the daemon and an engine. */
constexpr double kNetworkMs = 1;
constexpr double kTransferMs = 10;
constexpr double kLongestPauseMs = 200;
/** The load that is planned with is averaged over about this time. */
constexpr double kLoadWindowSeconds = 2;

}  // namespace

mix_fleet::mix_fleet(std::size_t engines, std::size_t prefill, engine_model_settings settings,
                     std::vector<request_kind> kinds)
    : settings_(settings),
      kinds_(std::move(kinds)),
      crossing_({}, "north", random_),
      placements_(fleet_, speeds_, random_, crossing_) {
  service_.name = "llm";
  service_.is_engine = true;
  service_.slots = settings.slots;
  service_.memory_tokens = settings.memory_tokens;
  for (std::size_t i = 0; i < engines; ++i) {
    upstream_entry entry;
    entry.id = "e" + std::to_string(i);
    entry.service = "llm";
    entry.data_centre = "north";
    entry.stage = i < prefill ? engine_stage::kPrefill : engine_stage::kDecode;
    entry.slots = settings.slots;
    const upstream_id id = fleet_.Put(entry).id;
    engines_[id] = std::make_unique<engine_model>(settings, entry.stage);
  }
}

placement_query mix_fleet::Query(const open_request& request) const {
  placement_query query;
  query.service = &service_;
  query.asked = &request.asked;
  query.tried = &tried_;
  query.is_prefilled = request.is_prefilled;
  query.may_split = !request.is_prefilled;
  query.longest_pause = milliseconds(static_cast<std::int64_t>(kLongestPauseMs));
  query.time_left = seconds(4);
  if (!request.is_prefilled) query.objective = request.kind->objective;
  return query;
}

void mix_fleet::Arrive(const request_kind& kind, place_policy& place) {
  const std::uint64_t id = ++last_request_;
  open_request& request = open_[id];
  request.kind = &kind;
  request.arrived_ms = now_ms_;
  const auto kind_number = static_cast<std::uint64_t>(&kind - kinds_.data());
  const std::uint64_t group = random_.Below(kind.groups);
  // Own parts vary between a third and five thirds of their mean.
  const double factor = 1.0 / 3 + 4.0 / 3 * random_.Fraction();
  const auto own = static_cast<std::uint64_t>(static_cast<double>(kind.own_tokens) * factor);
  request.asked.parts = {{(kind_number + 1) << 32 | group, kind.shared_tokens},
                         {std::uint64_t{1} << 60 | id, own}};
  request.asked.output_tokens = kind.output_tokens;
  result_.owed += kind.worth;
  const auto chosen = place.Choose(Query(request), Now());
  if (chosen) return Send(id, request, *chosen);
  result_.refused += 1;
  open_.erase(id);
}

void mix_fleet::Send(std::uint64_t id, open_request& request, const placement& chosen) {
  const bool apart = static_cast<bool>(chosen.prefills_at);
  request.at = apart ? chosen.prefills_at : chosen.runs_at;
  request.sent_ms = now_ms_;
  fleet_upstream& row = *fleet_.Find(request.at);
  request.reserved = {};
  request.reserved.running = 1;
  request.reserved.unread_tokens = request.is_prefilled ? 0 : chosen.unread_tokens;
  request.queued = row.all_work().unread_tokens;
  row.own += request.reserved;
  row.cache.RecordPrompt(request.asked, Now());
  engine_model& engine = *engines_.at(request.at);
  if (apart) {
    prefilled_tokens_ += static_cast<double>(chosen.unread_tokens);
    return engine.Prefill(id, request.asked, now_ms_ + kNetworkMs);
  }
  const double transfer_ms = request.is_prefilled ? kTransferMs : 0;
  engine.Run(id, request.asked, request.is_prefilled, now_ms_ + kNetworkMs + transfer_ms);
}

void mix_fleet::Release(open_request& request) {
  if (fleet_upstream* row = fleet_.Find(request.at)) row->own -= request.reserved;
  request.reserved = {};
}

void mix_fleet::Apply(const engine_model_event& event, place_policy& place) {
  const auto found = open_.find(event.request);
  if (found == open_.end()) return;
  open_request& request = found->second;
  fleet_upstream& row = *fleet_.Find(request.at);
  const bool is_first = request.last_event_ms < 0;
  if (is_first && request.reserved.unread_tokens > 0) {
    observed_prefill prefill;
    prefill.tokens = request.reserved.unread_tokens;
    prefill.queued = request.queued;
    prefill.certain_tokens = request.asked.parts.back().tokens;
    prefill.possible_tokens = request.asked.tokens();
    const double taken_ms = event.at_ms + kNetworkMs - request.sent_ms;
    speeds_.Observe(row, prefill, duration(static_cast<std::int64_t>(taken_ms * 1000)), Now());
    row.own.unread_tokens -= request.reserved.unread_tokens;
    request.reserved.unread_tokens = 0;
  }
  if (event.what == engine_model_event::kind::kPrefilled) {
    Release(request);
    request.is_prefilled = true;
    const auto chosen = place.Choose(Query(request), Now());
    if (chosen) return Send(event.request, request, *chosen);
    open_.erase(found);
    return;
  }
  if (event.what == engine_model_event::kind::kEnded) return Finish(event.request, request);
  const double at_ms = event.at_ms + kNetworkMs;
  if (is_first) {
    request.longest_pause_ms =
        at_ms - request.arrived_ms > ToSeconds(request.kind->objective) * 1000 ? 1e9 : 0;
  } else {
    const double pause_ms = at_ms - request.last_event_ms;
    request.longest_pause_ms = std::max(request.longest_pause_ms, pause_ms);
    speeds_.ObserveInterval("llm", duration(static_cast<std::int64_t>(pause_ms * 1000)));
  }
  request.last_event_ms = at_ms;
}

void mix_fleet::Finish(std::uint64_t id, open_request& request) {
  const bool on_time = request.longest_pause_ms <= kLongestPauseMs;
  result_.earned += request.kind->worth * (on_time ? 1 : request.kind->late_share);
  Release(request);
  open_.erase(id);
}

void mix_fleet::Plan(split_policy& split) {
  stage_load load;
  load.prefill =
      prefilled_tokens_ / kLoadWindowSeconds / (speeds_.PrefillTokensPerMs("llm") * 1000);
  prefilled_tokens_ *= std::exp(-kPlanEveryMs / 1000 / kLoadWindowSeconds);
  std::size_t prefill = 0;
  std::size_t changing = 0;
  for (auto& [id, engine] : engines_) {
    fleet_upstream& row = *fleet_.Find(id);
    if (row.entry.stage == engine_stage::kPrefill) ++prefill;
    if (engine->is_changing()) ++changing;
    if (row.entry.stage == engine_stage::kDecode)
      load.decode += static_cast<double>(row.own.running) / settings_.slots;
  }
  const std::size_t wanted = split.Wanted(engines_.size(), prefill, load);
  if (wanted == prefill || changing > 0) return;
  const engine_stage from = wanted > prefill ? engine_stage::kDecode : engine_stage::kPrefill;
  const engine_stage to = wanted > prefill ? engine_stage::kPrefill : engine_stage::kDecode;
  for (auto& [id, engine] : engines_) {
    upstream_entry entry = fleet_.Find(id)->entry;
    if (entry.stage != from) continue;
    entry.stage = to;
    fleet_.Put(entry);
    engine->ChangeStage(to);
    result_.changes += 1;
    return;
  }
}

mix_result mix_fleet::Run(double seconds, const mix_function& mix, split_policy& split,
                          place_policy& place) {
  result_ = {};
  const double end_ms = now_ms_ + seconds * 1000;
  std::vector<double> due(kinds_.size(), 0);
  double next_plan_ms = now_ms_;
  std::vector<engine_model_event> events;
  for (; now_ms_ < end_ms; now_ms_ += kTickMs) {
    const std::vector<double> rates = mix(now_ms_ / 1000);
    for (std::size_t kind = 0; kind < kinds_.size(); ++kind) {
      // Random arrivals: a number with the mean of the tick's share.
      due[kind] += rates[kind] * kTickMs / 1000 * 2 * random_.Fraction();
      for (; due[kind] >= 1; due[kind] -= 1) Arrive(kinds_[kind], place);
    }
    events.clear();
    for (auto& [id, engine] : engines_) {
      engine->Advance(now_ms_, events);
      fleet_.Find(id)->refuses_until =
          engine->is_changing() ? Now() + milliseconds(10) : time_point();
    }
    std::stable_sort(events.begin(), events.end(),
                     [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; });
    for (const engine_model_event& event : events) Apply(event, place);
    if (now_ms_ < next_plan_ms) continue;
    next_plan_ms += kPlanEveryMs;
    Plan(split);
  }
  return result_;
}

}  // namespace hawthorndrum
