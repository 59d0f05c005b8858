/// Cost estimates of a plain service's upstreams.
#include "gateway/service_placement.h"

#include <algorithm>
#include <limits>

#include "crossing/crossing_policy.h"
#include "gateway/fleet_table.h"
#include "gateway/gateway_config.h"

namespace hawthorndrum {

namespace {

/** Cost of a failure in milliseconds, when a retry may follow and when none may. */
constexpr double kRetriedFailureMs = 200;
constexpr double kFinalFailureMs = 1000;
/** Puts an upstream that failed recently last. */
constexpr double kAvoidedMs = 4000;
/** Calls that an upstream queues per slot before it refuses more. */
constexpr std::uint32_t kQueuedPerSlot = 4;
constexpr duration kInitialAnswerTime = milliseconds(20);
constexpr double kAnswerTimeWeight = 0.15;
constexpr duration kMinRetryAfter = milliseconds(200);

}  // namespace

service_placement::service_placement(fleet_table& fleet, crossing_policy& crossing)
    : fleet_(fleet), crossing_(crossing) {}

void service_placement::Observe(fleet_upstream& row, duration taken) {
  if (row.answer_time == duration(0)) {
    row.answer_time = taken;
    return;
  }
  const auto change = static_cast<double>((taken - row.answer_time).count()) * kAnswerTimeWeight;
  row.answer_time += duration(static_cast<std::int64_t>(change));
}

bool service_placement::HasFreeSlot(const fleet_upstream& row) {
  return row.all_work().running < row.entry.slots;
}

double service_placement::RiskMs(const fleet_upstream& row, const placement_query& query,
                                 time_point now) {
  double risk = row.failure_share * (query.failure_is_final ? kFinalFailureMs : kRetriedFailureMs);
  risk += row.refusal_share * kRetriedFailureMs;
  if (now < row.avoid_until) risk += kAvoidedMs;
  return risk;
}

double service_placement::CostOf(const fleet_upstream& row, const placement_query& query,
                                 time_point now) const {
  const duration answer = row.answer_time == duration(0) ? kInitialAnswerTime : row.answer_time;
  const double slots = std::max<std::uint32_t>(1, row.entry.slots);
  const double load = row.all_work().running / slots;
  double cost = ToSeconds(answer) * 1000 * (1 + load) + RiskMs(row, query, now);
  if (!crossing_.IsNear(row.entry.data_centre)) {
    // A measured answer time contains the link's delay.
    if (row.answer_time == duration(0)) cost += crossing_.DelayMs(row.entry.data_centre);
    cost += crossing_.PriceMs(query.request_bytes + query.answer_bytes);
  }
  return cost;
}

crossing_room service_placement::RoomIn(const std::string& service, const std::string& data_centre,
                                        time_point now) const {
  crossing_room room;
  for (const fleet_upstream* row : fleet_.OfService(service)) {
    if (row->entry.data_centre != data_centre || !row->accepts_calls(now)) continue;
    const double slots = std::max<std::uint32_t>(1, row->entry.slots);
    room.slots += slots;
    room.own += row->own.running;
    room.free += std::max(0.0, slots - row->all_work().running);
  }
  return room;
}

crossing_reason service_placement::WhyLeave(const candidate& near, const candidate& far,
                                            const placement_query& query, time_point now) const {
  if (far.row == nullptr || near.cost_ms <= far.cost_ms) return crossing_reason::kNone;
  if (near.row == nullptr) return crossing_reason::kNoneNear;
  // The near upstream's failures, not its load, make the difference.
  if (RiskMs(*near.row, query, now) > far.cost_ms) return crossing_reason::kNoneNear;
  const double objective_ms = ToSeconds(query.objective) * 1000;
  const bool is_late_near = objective_ms > 0 && near.cost_ms > objective_ms;
  if (is_late_near && far.cost_ms <= objective_ms && HasFreeSlot(*far.row))
    return crossing_reason::kNoneNear;
  const std::string& data_centre = far.row->entry.data_centre;
  // Prices and the delay are part of both costs.
  const double gain_ms = near.cost_ms - far.cost_ms;
  if (gain_ms <= crossing_.LatenessMs(query.service->name, data_centre))
    return crossing_reason::kNone;
  const crossing_room room = RoomIn(query.service->name, data_centre, now);
  const bool may = crossing_.TakeTurn(query.service->name, data_centre, room, now);
  return may ? crossing_reason::kRoom : crossing_reason::kNone;
}

tl::expected<placement, placement_failure> service_placement::Choose(const placement_query& query,
                                                                     time_point now) const {
  candidate near{nullptr, std::numeric_limits<double>::infinity()};
  candidate far = near;
  bool any = false;
  duration answer = kInitialAnswerTime;
  for (const fleet_upstream* row : fleet_.OfService(query.service->name)) {
    if (!row->accepts_calls(now)) continue;
    if (std::find(query.tried->begin(), query.tried->end(), row->id) != query.tried->end())
      continue;
    if (query.build && row->build != query.build) continue;
    any = true;
    answer = std::max(answer, row->answer_time);
    if (row->all_work().running >= row->entry.slots * (1 + kQueuedPerSlot)) continue;
    const double cost = CostOf(*row, query, now);
    candidate& best = crossing_.IsNear(row->entry.data_centre) ? near : far;
    if (cost < best.cost_ms) best = {row, cost};
  }
  if (!any) return tl::make_unexpected(placement_failure{"no_upstream", seconds(1)});
  if (near.row == nullptr && far.row == nullptr) {
    return tl::make_unexpected(
        placement_failure{"upstreams_full", std::max<duration>(kMinRetryAfter, answer)});
  }
  const crossing_reason leaves = WhyLeave(near, far, query, now);
  const candidate& best = leaves == crossing_reason::kNone ? near : far;
  const duration expected(static_cast<std::int64_t>(best.cost_ms * 1000));
  return placement{best.row->id, {}, 0, expected, leaves};
}

}  // namespace hawthorndrum
