/// Weighing engines.
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

/** Reading a prompt in one place and generating in another costs a second call. */
constexpr double kSplitMs = 15;
/** Bodies that cross data centres are paid for; an engine nearby wins among equals. */
constexpr double kOtherDataCentreMs = 8;
/** Spreads running requests over engines that are equal otherwise. */
constexpr double kRunningMs = 0.5;
/** An engine with so many requests for each of its slots would refuse another one. */
constexpr std::uint32_t kMostPerSlot = 2;
/** A request beyond an engine's slots waits for one of them, in milliseconds each. */
constexpr double kBeyondSlotsMs = 25;
/** Beyond this share of its memory an engine preempts. */
constexpr double kMemoryShare = 0.9;
constexpr double kNoMemoryMs = 600;
/** An engine that refuses costs a call and the budget's retries. */
constexpr double kRefusalMs = 800;
/** Engines that failed just now come last. */
constexpr double kAvoidedMs = 4000;
/**
 * The share of the longest pause between events that reading may fill at an engine that generates.
 * An event holds several tokens, and each of them waits for a piece of the prompt being read.
 */
constexpr double kReadShareOfPause = 0.1;
/**
 * Weight of reading shared parts again, beyond the time that it takes the request itself. The
 * second home is the same at every daemon, so that a group spreads no further than it must.
 */
constexpr double kReadAgainAtSecond = 1.5;
constexpr double kReadAgain = 8;
/** Engines that are drawn for a generation: a daemon's view is as old as many generations take. */
constexpr std::size_t kDrawnNear = 2;
constexpr std::size_t kDrawnOfAll = 2;
/** Reading more than that makes each stream that runs there late. */
constexpr double kLatePausesMs = 400;
constexpr duration kShortestRetry = milliseconds(250);

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
  if (memory > 0 && static_cast<double>(work.memory_tokens + needed) > memory) cost += kNoMemoryMs;
  return cost;
}

double engine_placement::TransferMs(std::uint64_t tokens, const gateway_service& service) {
  if (service.link_mbps <= 0) return 0;
  return 8.0 * static_cast<double>(tokens * service.token_bytes) / (service.link_mbps * 1000);
}

double engine_placement::TransferCost(const fleet_upstream& from, const fleet_upstream& to,
                                      const placement_query& query) const {
  const double way = TransferMs(query.asked->tokens(), *query.service);
  const bool near = from.entry.data_centre == to.entry.data_centre;
  return kSplitMs + (near ? way : 2 * way + kOtherDataCentreMs);
}

engine_placement::homes engine_placement::HomesOf(std::uint64_t key, engine_stage stage,
                                                  const std::vector<candidate>& among) {
  homes found;
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
    if (!row->takes_work(now) || row->reach.is_lost || now < row->refuses_until) continue;
    if (Contains(query.tried, row->id)) continue;
    if (row->all_work().running >= row->entry.slots * kMostPerSlot) continue;
    if (row->entry.stage == engine_stage::kPrefill && !query.may_split) continue;
    candidate each;
    each.row = row;
    each.run_ms = RunCost(*row, query);
    each.risk_ms = kRefusalMs * row->refusal_share;
    if (now < row->avoid_until) each.risk_ms += kAvoidedMs;
    found.push_back(each);
  }
  const std::uint64_t key = query.asked->shared_key();
  // Where a prompt belongs is of no weight once it was read.
  const bool weighs_homes = !query.is_read;
  const homes readers = weighs_homes ? HomesOf(key, engine_stage::kPrefill, found) : homes{};
  const homes runners = weighs_homes ? HomesOf(key, engine_stage::kDecode, found) : homes{};
  for (candidate& each : found) {
    const bool is_home = each.row == readers.first || each.row == runners.first;
    const bool is_second = each.row == readers.second || each.row == runners.second;
    WeighReading(query, is_home && key != 0, is_second ? kReadAgainAtSecond : kReadAgain, now,
                 each);
  }
  return found;
}

void engine_placement::WeighReading(const placement_query& query, bool is_home, double read_again,
                                    time_point now, candidate& each) const {
  const double speed = speeds_.Of(*each.row, now);
  each.wait_ms = static_cast<double>(each.row->all_work().unread_tokens) / speed;
  if (query.is_read) return;
  const std::uint64_t tokens = query.asked->tokens();
  const std::uint64_t shared = tokens - query.asked->parts.back().tokens;
  const std::uint64_t held = is_home ? shared : each.row->cache.HeldTokens(*query.asked, now);
  each.unread = tokens - held;
  each.read_ms = static_cast<double>(each.unread) / speed;
  // What others hold need not be read again; doing so takes the engine's time from the next ones.
  each.price_ms += read_again * static_cast<double>(shared - held) / speed;
  if (each.row->entry.stage == engine_stage::kPrefill) return;
  const double pause_ms = ToSeconds(query.longest_pause) * 1000;
  if (pause_ms > 0 && each.wait_ms + each.read_ms > pause_ms * kReadShareOfPause) {
    each.price_ms += kLatePausesMs * (1 + each.row->all_work().running);
  }
}

const engine_placement::candidate* engine_placement::DrawRunner(
    const std::vector<candidate>& among, const fleet_upstream* reader,
    const placement_query& query) const {
  std::vector<const candidate*> near;
  std::vector<const candidate*> all;
  for (const candidate& each : among) {
    if (each.row->entry.stage == engine_stage::kPrefill) continue;
    all.push_back(&each);
    const std::string& place = reader == nullptr ? own_data_centre_ : reader->entry.data_centre;
    if (each.row->entry.data_centre == place) near.push_back(&each);
  }
  const candidate* best = nullptr;
  double best_ms = std::numeric_limits<double>::infinity();
  const auto draw = [&](const std::vector<const candidate*>& from, std::size_t count) {
    // Few enough to look at all: drawing would only miss some.
    const bool whole = from.size() <= count;
    for (std::size_t i = 0; i < std::min(count, from.size()); ++i) {
      const candidate* each = from[whole ? i : random_.Below(from.size())];
      const double way = reader == nullptr ? 0 : TransferCost(*reader, *each->row, query);
      if (each->RunnerMs() + way >= best_ms) continue;
      best_ms = each->RunnerMs() + way;
      best = each;
    }
  };
  draw(near, kDrawnNear);
  draw(all, kDrawnOfAll);
  // Those drawn may all be in trouble.
  if (best == nullptr || best->risk_ms >= kAvoidedMs) draw(all, all.size());
  return best;
}

tl::expected<placement, no_place> engine_placement::Choose(const placement_query& query,
                                                           time_point now) const {
  const std::vector<candidate> found = Candidates(query, now);
  if (query.is_read) {
    const candidate* runner = DrawRunner(found, query.read_at, query);
    if (runner == nullptr) return tl::make_unexpected(no_place{"no_engine", seconds(1)});
    return placement{runner->row->id, {}, 0, Milliseconds(runner->wait_ms + runner->run_ms)};
  }
  placement best;
  double best_ms = std::numeric_limits<double>::infinity();
  const auto consider = [&](const placement& place, double expected_ms, double price_ms) {
    if (expected_ms + price_ms >= best_ms) return;
    best_ms = expected_ms + price_ms;
    best = place;
    best.expected = Milliseconds(expected_ms);
  };
  const candidate* reader = nullptr;
  for (const candidate& each : found) {
    if (each.row->entry.stage == engine_stage::kPrefill) {
      if (reader == nullptr || each.ReaderMs() < reader->ReaderMs()) reader = &each;
      continue;
    }
    consider({each.row->id, {}, each.unread, {}}, each.wait_ms + each.read_ms + each.run_ms,
             each.price_ms + each.risk_ms);
  }
  const candidate* runner = DrawRunner(found, reader == nullptr ? nullptr : reader->row, query);
  if (runner == nullptr) return tl::make_unexpected(no_place{"no_engine", seconds(1)});
  if (reader != nullptr) {
    consider({runner->row->id, reader->row->id, reader->unread, {}},
             reader->wait_ms + reader->read_ms + runner->run_ms +
                 TransferCost(*reader->row, *runner->row, query),
             reader->price_ms + reader->risk_ms + runner->risk_ms);
  }
  if (best.expected > query.time_left) {
    // The queue is read at the engines' own speed; coming back sooner finds it as long.
    return tl::make_unexpected(no_place{
        "engines_behind", std::max<duration>(kShortestRetry, best.expected - query.time_left)});
  }
  return best;
}

}  // namespace hawthorndrum
