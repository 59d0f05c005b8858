/// Cost estimates of engines.
#include "gateway/engine_placement.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/hash.h"
#include "gateway/engine_speeds.h"
#include "gateway/fleet_table.h"
#include "gateway/gateway_config.h"
#include "gateway/prompt.h"
#include "ports/random_source.h"

namespace hawthorndrum {

namespace {

/** A prefill at another engine than the decode costs a second call. */
constexpr double kSplitMs = 15;
/** Traffic between data centres is billed; among equal engines a near one is preferred. */
constexpr double kOtherDataCentreMs = 8;
/** Spreads running requests over engines that are otherwise equal. */
constexpr double kRunningMs = 0.5;
/** An engine with this many requests per slot would refuse another one. */
constexpr std::uint32_t kMaxRequestsPerSlot = 2;
/** Expected wait for a slot per request beyond the engine's slots, in milliseconds. */
constexpr double kBeyondSlotsMs = 25;
/** An engine preempts requests beyond this share of its KV cache. */
constexpr double kMemoryShare = 0.9;
constexpr double kPreemptionMs = 600;
/** A refusal costs a call and uses up the retry budget. */
constexpr double kRefusalMs = 800;
/** Puts engines that failed recently last. */
constexpr double kAvoidedMs = 4000;
/**
 * Share of the longest pause between events that a prefill may take at a decode engine. An event
 * holds several tokens, and each of them waits for a chunk of the prompt that is being prefilled.
 */
constexpr double kPrefillShareOfPause = 0.1;
/**
 * Penalty factors for prefilling shared parts again, on top of the time that it takes the request
 * itself. The factor is lower at the second affinity engine, which is the same at every daemon, so
 * that a group spreads over as few engines as possible.
 */
constexpr double kRepeatPrefillAtSecond = 1.5;
constexpr double kRepeatPrefill = 8;
/** Sample sizes for the decode engine; a daemon's load data is as old as many generations last. */
constexpr std::size_t kSampledNear = 2;
constexpr std::size_t kSampledOverall = 2;
/** Penalty for each stream that a longer prefill would make late. */
constexpr double kLateStreamMs = 400;
constexpr duration kMinRetryAfter = milliseconds(250);

bool Contains(const std::vector<upstream_id>* ids, upstream_id id) {
  return ids != nullptr && std::find(ids->begin(), ids->end(), id) != ids->end();
}

duration Milliseconds(double ms) { return duration(static_cast<std::int64_t>(ms * 1000)); }

}  // namespace

engine_placement::engine_placement(fleet_table& fleet, const engine_speeds& speeds,
                                   random_source& random, std::string own_data_centre)
    : fleet_(fleet),
      speeds_(speeds),
      random_(random),
      own_data_centre_(std::move(own_data_centre)) {}

double engine_placement::RunCost(const fleet_upstream& row, const placement_query& query) const {
  const upstream_work work = row.all_work();
  double cost = kRunningMs * work.running + TransferMs(work.fetching_tokens, *query.service);
  if (row.entry.data_centre != own_data_centre_) cost += kOtherDataCentreMs;
  if (work.running >= row.entry.slots) {
    cost += kBeyondSlotsMs * (work.running - row.entry.slots + 1);
  }
  const double memory = static_cast<double>(query.service->memory_tokens) * kMemoryShare;
  const std::uint64_t needed = query.asked->tokens() + query.asked->output_tokens;
  if (memory > 0 && static_cast<double>(work.memory_tokens + needed) > memory)
    cost += kPreemptionMs;
  return cost;
}

double engine_placement::TransferMs(std::uint64_t tokens, const gateway_service& service) {
  if (service.link_mbps <= 0) return 0;
  return 8.0 * static_cast<double>(tokens * service.token_bytes) / (service.link_mbps * 1000);
}

double engine_placement::TransferCost(const fleet_upstream& from, const fleet_upstream& to,
                                      const placement_query& query) const {
  const double transfer_ms = TransferMs(query.asked->tokens(), *query.service);
  const bool near = from.entry.data_centre == to.entry.data_centre;
  return kSplitMs + (near ? transfer_ms : 2 * transfer_ms + kOtherDataCentreMs);
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
    if (!row->takes_work(now) || row->reachability.is_lost || now < row->refuses_until) continue;
    if (Contains(query.tried, row->id)) continue;
    if (row->all_work().running >= row->entry.slots * kMaxRequestsPerSlot) continue;
    if (row->entry.stage == engine_stage::kPrefill && !query.may_split) continue;
    candidate each;
    each.row = row;
    each.run_ms = RunCost(*row, query);
    each.risk_ms = kRefusalMs * row->refusal_share;
    if (now < row->avoid_until) each.risk_ms += kAvoidedMs;
    found.push_back(each);
  }
  const std::uint64_t key = query.asked->shared_key();
  // Affinity no longer matters once the prompt is prefilled.
  const bool uses_affinity = !query.is_prefilled;
  const affinity_engines prefill_affinity =
      uses_affinity ? AffinityOf(key, engine_stage::kPrefill, found) : affinity_engines{};
  const affinity_engines decode_affinity =
      uses_affinity ? AffinityOf(key, engine_stage::kDecode, found) : affinity_engines{};
  for (candidate& each : found) {
    const bool has_affinity =
        each.row == prefill_affinity.first || each.row == decode_affinity.first;
    const bool is_second =
        each.row == prefill_affinity.second || each.row == decode_affinity.second;
    EstimatePrefill(query, has_affinity && key != 0,
                    is_second ? kRepeatPrefillAtSecond : kRepeatPrefill, now, each);
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
  const double pause_ms = ToSeconds(query.longest_pause) * 1000;
  if (pause_ms > 0 && each.wait_ms + each.prefill_ms > pause_ms * kPrefillShareOfPause) {
    each.penalty_ms += kLateStreamMs * (1 + each.row->all_work().running);
  }
}

const engine_placement::candidate* engine_placement::SampleDecodeEngine(
    const std::vector<candidate>& among, const fleet_upstream* prefill_engine,
    const placement_query& query) const {
  std::vector<const candidate*> near;
  std::vector<const candidate*> all;
  for (const candidate& each : among) {
    if (each.row->entry.stage == engine_stage::kPrefill) continue;
    all.push_back(&each);
    const std::string& data_centre =
        prefill_engine == nullptr ? own_data_centre_ : prefill_engine->entry.data_centre;
    if (each.row->entry.data_centre == data_centre) near.push_back(&each);
  }
  const candidate* best = nullptr;
  double best_ms = std::numeric_limits<double>::infinity();
  const auto sample = [&](const std::vector<const candidate*>& from, std::size_t count) {
    // With this few, all are examined; sampling would only miss some.
    const bool take_all = from.size() <= count;
    for (std::size_t i = 0; i < std::min(count, from.size()); ++i) {
      const candidate* each = from[take_all ? i : random_.Below(from.size())];
      const double transfer_ms =
          prefill_engine == nullptr ? 0 : TransferCost(*prefill_engine, *each->row, query);
      if (each->DecodeCostMs() + transfer_ms >= best_ms) continue;
      best_ms = each->DecodeCostMs() + transfer_ms;
      best = each;
    }
  };
  sample(near, kSampledNear);
  sample(all, kSampledOverall);
  // All sampled engines may have failed recently.
  if (best == nullptr || best->risk_ms >= kAvoidedMs) sample(all, all.size());
  return best;
}

tl::expected<placement, placement_failure> engine_placement::Choose(const placement_query& query,
                                                                    time_point now) const {
  const std::vector<candidate> found = Candidates(query, now);
  if (query.is_prefilled) {
    const candidate* decode_engine = SampleDecodeEngine(found, query.prefilled_at, query);
    if (decode_engine == nullptr)
      return tl::make_unexpected(placement_failure{"no_engine", seconds(1)});
    return placement{decode_engine->row->id,
                     {},
                     0,
                     Milliseconds(decode_engine->wait_ms + decode_engine->run_ms)};
  }
  placement best;
  double best_ms = std::numeric_limits<double>::infinity();
  const auto consider = [&](const placement& place, double expected_ms, double penalty_ms) {
    if (expected_ms + penalty_ms >= best_ms) return;
    best_ms = expected_ms + penalty_ms;
    best = place;
    best.expected = Milliseconds(expected_ms);
  };
  const candidate* prefill_engine = nullptr;
  for (const candidate& each : found) {
    if (each.row->entry.stage == engine_stage::kPrefill) {
      if (prefill_engine == nullptr || each.PrefillCostMs() < prefill_engine->PrefillCostMs())
        prefill_engine = &each;
      continue;
    }
    consider({each.row->id, {}, each.unread, {}}, each.wait_ms + each.prefill_ms + each.run_ms,
             each.penalty_ms + each.risk_ms);
  }
  const candidate* decode_engine =
      SampleDecodeEngine(found, prefill_engine == nullptr ? nullptr : prefill_engine->row, query);
  if (decode_engine == nullptr)
    return tl::make_unexpected(placement_failure{"no_engine", seconds(1)});
  if (prefill_engine != nullptr) {
    consider({decode_engine->row->id, prefill_engine->row->id, prefill_engine->unread, {}},
             prefill_engine->wait_ms + prefill_engine->prefill_ms + decode_engine->run_ms +
                 TransferCost(*prefill_engine->row, *decode_engine->row, query),
             prefill_engine->penalty_ms + prefill_engine->risk_ms + decode_engine->risk_ms);
  }
  if (best.expected > query.time_left) {
    // The prefill queue drains at the engines' speed; an earlier retry would still find it too
    // long.
    return tl::make_unexpected(placement_failure{
        "engines_behind", std::max<duration>(kMinRetryAfter, best.expected - query.time_left)});
  }
  return best;
}

}  // namespace hawthorndrum
