/// Cost estimates of engines.
#include "gateway/engine_placement.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

#include "base/hash.h"
#include "base/saturated.h"
#include "crossing/crossing_policy.h"
#include "gateway/engine_speeds.h"
#include "gateway/fleet_table.h"
#include "gateway/gateway_config.h"
#include "gateway/prompt.h"
#include "ports/random_source.h"

namespace hawthorndrum {

namespace {

/** A prefill at another engine than the decode costs a second call. */
constexpr double kSplitMs = 15;
/** Spreads running requests over engines that are otherwise equal. */
constexpr double kRunningMs = 0.5;
/** An engine with this many requests per slot would refuse another one. */
constexpr std::uint32_t kMaxRequestsPerSlot = 2;
/** Expected wait for a slot per request beyond the engine's slots, in milliseconds. */
constexpr double kBeyondSlotsMs = 25;
/** How long a request may wait, in objectives; everything behind it would be as late. */
constexpr double kLongestWait = 2;
/** An engine preempts requests beyond this share of its KV cache. */
constexpr double kMemoryShare = 0.9;
constexpr double kPreemptionMs = 600;
/** A refusal costs a call and uses up the retry budget. */
constexpr double kRefusalMs = 800;
/** Puts engines that failed recently last. */
constexpr double kAvoidedMs = 4000;
/**
 * Share of the time between a usual event and the longest pause that prefills at a decode engine
 * may take; load data is some hundred milliseconds old, and other daemons place prompts there too.
 */
constexpr double kPrefillShareOfSlack = 0.15;
/**
 * Penalty factors for prefilling shared parts again, on top of the time that it takes the request
 * itself. The factor is lower at the second affinity engine, which is the same at every daemon, so
 * that a group spreads over as few engines as possible.
 */
constexpr double kRepeatPrefillAtSecond = 1.5;
constexpr double kRepeatPrefill = 8;
/** Sample sizes for decode engines; a daemon's load data is as old as many generations last. */
constexpr std::size_t kSampledNear = 2;
constexpr std::size_t kSampledOverall = 2;
constexpr std::size_t kExaminedAll = 6;
/** Penalty for each stream that longer prefills would make late. */
constexpr double kLateStreamMs = 400;
constexpr duration kMinRetryAfter = milliseconds(250);

bool Contains(const std::vector<upstream_id>* ids, upstream_id id) {
  return ids != nullptr && std::find(ids->begin(), ids->end(), id) != ids->end();
}

}  // namespace

engine_placement::engine_placement(fleet_table& fleet, const engine_speeds& speeds,
                                   random_source& random, crossing_policy& crossing)
    : fleet_(fleet), speeds_(speeds), random_(random), crossing_(crossing) {}

double engine_placement::RunCost(const fleet_upstream& row, const placement_query& query) const {
  const upstream_work work = row.all_work();
  double cost = kRunningMs * work.running + TransferMs(work.fetching_tokens, *query.service);
  cost += crossing_.DelayMs(row.entry.data_centre);
  const double memory = static_cast<double>(query.service->memory_tokens) * kMemoryShare;
  const std::uint64_t needed = query.asked->tokens() + query.asked->output_tokens;
  if (memory > 0 && static_cast<double>(work.memory_tokens + needed) > memory)
    cost += kPreemptionMs;
  return cost;
}

double engine_placement::SlotWaitMs(const fleet_upstream& row) {
  const std::uint32_t running = row.all_work().running;
  return running < row.entry.slots ? 0 : kBeyondSlotsMs * (running - row.entry.slots + 1);
}

double engine_placement::TransferMs(std::uint64_t tokens, const gateway_service& service) {
  if (service.link_mbps <= 0) return 0;
  return 8.0 * static_cast<double>(tokens * service.token_bytes) / (service.link_mbps * 1000);
}

double engine_placement::SplitMs(const fleet_upstream& from, const fleet_upstream& to,
                                 const placement_query& query) const {
  const double transfer_ms = TransferMs(query.asked->tokens(), *query.service);
  const bool near = from.entry.data_centre == to.entry.data_centre;
  return kSplitMs + (near ? transfer_ms : 2 * transfer_ms);
}

double engine_placement::TransferPriceMs(const fleet_upstream& from, const fleet_upstream& to,
                                         const placement_query& query) const {
  if (from.entry.data_centre == to.entry.data_centre) return 0;
  return crossing_.KvPriceMs(
      static_cast<double>(query.asked->tokens() * query.service->token_bytes));
}

double engine_placement::BytesOf(const placement_query& query, engine_stage stage) {
  return query.request_bytes + (stage == engine_stage::kPrefill ? 0 : query.answer_bytes);
}

engine_placement::affinity_engines engine_placement::AffinityOf(
    std::uint64_t key, engine_stage stage, const std::vector<candidate>& among) {
  affinity_engines found;
  std::uint64_t best = 0;
  std::uint64_t next = 0;
  for (const candidate& each : among) {
    if (each.row->entry.stage != stage) continue;
    const std::uint64_t score = RendezvousScore(key, each.row->id.value());
    if (found.first == nullptr || score > best) {
      found.second = std::exchange(found.first, each.row);
      next = std::exchange(best, score);
    } else if (found.second == nullptr || score > next) {
      found.second = each.row;
      next = score;
    }
  }
  return found;
}

std::vector<engine_placement::candidate> engine_placement::Candidates(const placement_query& query,
                                                                      time_point now) const {
  std::vector<candidate> found;
  for (const fleet_upstream* row : fleet_.OfService(query.service->name)) {
    if (!row->accepts_calls(now)) continue;
    if (Contains(query.tried, row->id)) continue;
    // Prefill writes no events, so its build does not matter.
    const bool writes_events = row->entry.stage != engine_stage::kPrefill;
    if (writes_events && query.build && row->build != query.build) continue;
    if (row->all_work().running >= row->entry.slots * kMaxRequestsPerSlot) continue;
    if (row->entry.stage == engine_stage::kPrefill && !query.may_split) continue;
    candidate each;
    each.row = row;
    each.run_ms = RunCost(*row, query);
    each.slot_wait_ms = SlotWaitMs(*row);
    each.risk_ms = kRefusalMs * row->refusal_share;
    if (now < row->avoid_until) each.risk_ms += kAvoidedMs;
    if (!crossing_.IsNear(row->entry.data_centre))
      each.price_ms = crossing_.PriceMs(BytesOf(query, row->entry.stage));
    found.push_back(each);
  }
  const std::uint64_t key = query.asked->shared_key();
  // Affinity no longer matters once the prompt is prefilled.
  const bool uses_affinity = !query.is_prefilled;
  const affinity_engines affinity =
      uses_affinity ? AffinityOf(key, engine_stage::kPrefill, found) : affinity_engines{};
  for (candidate& each : found) {
    const bool spreads =
        each.row->entry.stage == engine_stage::kPrefill && each.row != affinity.second;
    EstimatePrefill(query, each.row == affinity.first && key != 0,
                    spreads ? kRepeatPrefill : kRepeatPrefillAtSecond, now, each);
  }
  return found;
}

void engine_placement::EstimatePrefill(const placement_query& query, bool has_affinity,
                                       double repeat_factor, time_point now,
                                       candidate& each) const {
  const double speed = speeds_.TokensPerMs(*each.row, now);
  each.wait_ms = static_cast<double>(each.row->all_work().unread_tokens) / speed;
  if (query.is_prefilled) return;
  const std::uint64_t tokens = query.asked->tokens();
  const std::uint64_t shared = tokens - query.asked->parts.back().tokens;
  const std::uint64_t held = has_affinity ? shared : each.row->cache.HeldTokens(*query.asked, now);
  each.unread = tokens - held;
  each.prefill_ms = static_cast<double>(each.unread) / speed;
  // Prefilling parts that other engines hold takes engine time away from later requests.
  each.penalty_ms += repeat_factor * static_cast<double>(shared - held) / speed;
  if (each.row->entry.stage == engine_stage::kPrefill) return;
  each.penalty_ms += LateStreams(query, each) * kLateStreamMs;
}

double engine_placement::LateStreams(const placement_query& query, const candidate& each) const {
  // The tokens of an event wait for the chunks of all prompts that are prefilled meanwhile.
  const double pause_ms = ToSeconds(query.longest_pause) * 1000;
  if (pause_ms <= 0) return 0;
  const double usual_ms = ToSeconds(speeds_.EventInterval(query.service->name)) * 1000;
  const double slack_ms = kPrefillShareOfSlack * std::max(0.0, pause_ms - usual_ms);
  const double excess_ms = each.wait_ms + each.prefill_ms - slack_ms;
  return each.row->all_work().running * std::clamp(excess_ms / pause_ms, 0.0, 1.0);
}

const engine_placement::candidate* engine_placement::SampleDecodeEngine(
    const candidates& among, const std::string& near_data_centre,
    const std::function<double(const candidate&)>& cost_ms) const {
  std::vector<const candidate*> near;
  std::vector<const candidate*> all;
  for (const candidate* each : among) {
    if (each->row->entry.stage == engine_stage::kPrefill) continue;
    all.push_back(each);
    if (each->row->entry.data_centre == near_data_centre) near.push_back(each);
  }
  const candidate* best = nullptr;
  double best_ms = std::numeric_limits<double>::infinity();
  const auto sample = [&](const std::vector<const candidate*>& from, std::size_t count) {
    // With this few, all are examined; sampling would only miss some.
    const bool take_all = from.size() <= std::max(count, kExaminedAll);
    for (std::size_t i = 0; i < (take_all ? from.size() : count); ++i) {
      const candidate* each = from[take_all ? i : random_.Below(from.size())];
      const double each_ms = cost_ms(*each);
      if (each_ms >= best_ms) continue;
      best_ms = each_ms;
      best = each;
    }
  };
  sample(near, kSampledNear);
  sample(all, kSampledOverall);
  // All sampled engines may have failed recently.
  if (best == nullptr || best->risk_ms >= kAvoidedMs) sample(all, all.size());
  return best;
}

engine_placement::option engine_placement::RunThere(const candidate& at,
                                                    const placement_query& query) const {
  option here;
  here.place = {at.row->id, {}, at.unread, {}};
  here.wait_ms = at.wait_ms + at.slot_wait_ms;
  here.work_ms =
      at.prefill_ms + at.run_ms + speeds_.OverheadMs(query.service->name, engine_stage::kDecode);
  here.penalty_ms = at.penalty_ms + at.risk_ms;
  here.risk_ms = at.risk_ms;
  here.price_ms = at.price_ms;
  return here;
}

engine_placement::option engine_placement::Split(const candidate& prefill_engine,
                                                 const candidate& decode_engine,
                                                 const placement_query& query) const {
  const std::string& service = query.service->name;
  option both;
  both.place = {decode_engine.row->id, prefill_engine.row->id, prefill_engine.unread, {}};
  both.wait_ms = prefill_engine.wait_ms + prefill_engine.slot_wait_ms + decode_engine.slot_wait_ms;
  both.work_ms = prefill_engine.prefill_ms + decode_engine.run_ms +
                 SplitMs(*prefill_engine.row, *decode_engine.row, query) +
                 crossing_.DelayMs(prefill_engine.row->entry.data_centre) +
                 std::max(speeds_.OverheadMs(service, engine_stage::kPrefill),
                          speeds_.OverheadMs(service, engine_stage::kDecode));
  both.penalty_ms = prefill_engine.penalty_ms + prefill_engine.risk_ms + decode_engine.risk_ms;
  both.risk_ms = std::max(prefill_engine.risk_ms, decode_engine.risk_ms);
  both.price_ms = prefill_engine.price_ms + decode_engine.price_ms +
                  TransferPriceMs(*prefill_engine.row, *decode_engine.row, query);
  return both;
}

double engine_placement::LongestWaitMs(const placement_query& query) {
  return kLongestWait * ToSeconds(query.objective) * 1000;
}

tl::expected<engine_placement::option, placement_failure> engine_placement::ChooseAmong(
    const candidates& among, const placement_query& query) const {
  const candidate* prefill_engine = nullptr;
  for (const candidate* each : among) {
    if (query.is_prefilled || each->row->entry.stage != engine_stage::kPrefill) continue;
    if (prefill_engine == nullptr || each->PrefillCostMs() < prefill_engine->PrefillCostMs())
      prefill_engine = each;
  }
  const fleet_upstream* fetches_from = query.is_prefilled          ? query.prefilled_at
                                       : prefill_engine == nullptr ? nullptr
                                                                   : prefill_engine->row;
  const candidate* decode_engine = SampleDecodeEngine(
      among,
      fetches_from == nullptr ? crossing_.own_data_centre() : fetches_from->entry.data_centre,
      [&](const candidate& each) {
        if (fetches_from == nullptr) return each.DecodeCostMs();
        return each.DecodeCostMs() + SplitMs(*fetches_from, *each.row, query) +
               TransferPriceMs(*fetches_from, *each.row, query);
      });
  if (decode_engine == nullptr)
    return tl::make_unexpected(placement_failure{"no_engine", seconds(1)});
  if (query.is_prefilled) {
    option there;
    there.place.runs_at = decode_engine->row->id;
    there.work_ms = decode_engine->DecodeMs();
    there.place.expected = BoundedMilliseconds(there.ExpectedMs());
    return there;
  }
  const candidate* runs_all =
      SampleDecodeEngine(among, crossing_.own_data_centre(),
                         [&](const candidate& each) { return RunThere(each, query).CostMs(); });
  // None is found where each cost is beyond all numbers.
  option best = RunThere(runs_all == nullptr ? *decode_engine : *runs_all, query);
  for (const candidate* each : among) {
    const bool holds_most = 2 * each->unread < query.asked->tokens();
    if (each->row->entry.stage == engine_stage::kPrefill || !holds_most) continue;
    const option here = RunThere(*each, query);
    if (here.CostMs() < best.CostMs()) best = here;
  }
  if (prefill_engine != nullptr) {
    const option both = Split(*prefill_engine, *decode_engine, query);
    if (both.CostMs() < best.CostMs()) best = both;
  }
  best.place.expected = BoundedMilliseconds(best.ExpectedMs());
  best.place.wait = BoundedMilliseconds(best.wait_ms);
  const double longest_wait_ms = LongestWaitMs(query);
  const bool is_late = query.objective > duration(0) && best.wait_ms > longest_wait_ms;
  if (!is_late && best.place.expected <= query.time_left) return best;
  // The queue drains at the engines' speed; an earlier retry would still find it too long.
  const double too_long_ms = is_late ? best.wait_ms - longest_wait_ms / 2
                                     : best.ExpectedMs() - ToSeconds(query.time_left) * 1000;
  return tl::make_unexpected(placement_failure{
      "engines_behind", std::max<duration>(kMinRetryAfter, BoundedMilliseconds(too_long_ms))});
}

const std::string* engine_placement::LeavesFor(const option& chosen) const {
  for (const upstream_id id : {chosen.place.prefills_at, chosen.place.runs_at}) {
    const fleet_upstream* row = id ? fleet_.Find(id) : nullptr;
    if (row != nullptr && !crossing_.IsNear(row->entry.data_centre)) return &row->entry.data_centre;
  }
  return nullptr;
}

crossing_room engine_placement::RoomIn(const std::string& service, const std::string& data_centre,
                                       time_point now) const {
  crossing_room room;
  for (const fleet_upstream* row : fleet_.OfService(service)) {
    if (row->entry.data_centre != data_centre || !row->accepts_calls(now)) continue;
    room.slots += row->entry.slots;
    room.own += row->own.running;
    room.free += std::max(0.0, static_cast<double>(row->entry.slots) - row->all_work().running);
  }
  return room;
}

crossing_reason engine_placement::WhyLeave(const option& chosen,
                                           const tl::expected<option, placement_failure>& near,
                                           const placement_query& query, time_point now) const {
  // The KV cache of a prefilled prompt is there already.
  if (query.is_prefilled) return crossing_reason::kCache;
  if (!near) return crossing_reason::kNoneNear;
  if (near->risk_ms >= kAvoidedMs) return crossing_reason::kNoneNear;
  // A decode engine is the best of a sample, so that a second choice may be better.
  if (near->CostMs() <= chosen.CostMs()) return crossing_reason::kNone;
  // A near engine would prefill shared parts again, and delay what is queued there.
  if (chosen.place.unread_tokens < near->place.unread_tokens ||
      chosen.penalty_ms < near->penalty_ms)
    return crossing_reason::kCache;
  const double objective_ms = ToSeconds(query.objective) * 1000;
  const bool is_late_near = objective_ms > 0 && near->ExpectedMs() > objective_ms;
  if (is_late_near && chosen.ExpectedMs() <= objective_ms) return crossing_reason::kNoneNear;
  const std::string& data_centre = *LeavesFor(chosen);
  // Prices and the delay are part of both costs.
  const double gain_ms = near->CostMs() - chosen.CostMs();
  if (gain_ms <= crossing_.LatenessMs(query.service->name, data_centre))
    return crossing_reason::kNone;
  const crossing_room room = RoomIn(query.service->name, data_centre, now);
  const bool may = crossing_.TakeTurn(query.service->name, data_centre, room, now);
  return may ? crossing_reason::kRoom : crossing_reason::kNone;
}

tl::expected<placement, placement_failure> engine_placement::Choose(const placement_query& query,
                                                                    time_point now) const {
  const std::vector<candidate> found = Candidates(query, now);
  candidates all;
  candidates near;
  for (const candidate& each : found) {
    all.push_back(&each);
    if (crossing_.IsNear(each.row->entry.data_centre)) near.push_back(&each);
  }
  auto chosen = ChooseAmong(all, query);
  if (!chosen) return tl::make_unexpected(chosen.error());
  if (LeavesFor(*chosen) == nullptr) return chosen->place;
  const auto stays = ChooseAmong(near, query);
  chosen->place.leaves = WhyLeave(*chosen, stays, query, now);
  return chosen->place.leaves == crossing_reason::kNone ? stays->place : chosen->place;
}

}  // namespace hawthorndrum
