/// Cost estimates of a plain service's upstreams.
#include "gateway/service_placement.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "gateway/fleet_table.h"
#include "gateway/gateway_config.h"

namespace hawthorndrum {

namespace {

/** Round trip between data centres, and a penalty for billed traffic. */
constexpr double kOtherDataCentreMs = 5;
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

service_placement::service_placement(fleet_table& fleet, std::string own_data_centre)
    : fleet_(fleet), own_data_centre_(std::move(own_data_centre)) {}

void service_placement::Observe(fleet_upstream& row, duration taken) {
  if (row.answer_time == duration(0)) {
    row.answer_time = taken;
    return;
  }
  const auto change = static_cast<double>((taken - row.answer_time).count()) * kAnswerTimeWeight;
  row.answer_time += duration(static_cast<std::int64_t>(change));
}

double service_placement::CostOf(const fleet_upstream& row, const placement_query& query,
                                 time_point now) const {
  const duration answer = row.answer_time == duration(0) ? kInitialAnswerTime : row.answer_time;
  const double slots = std::max<std::uint32_t>(1, row.entry.slots);
  const double load = row.all_work().running / slots;
  double cost = ToSeconds(answer) * 1000 * (1 + load);
  cost += row.failure_share * (query.failure_is_final ? kFinalFailureMs : kRetriedFailureMs);
  cost += row.refusal_share * kRetriedFailureMs;
  if (row.entry.data_centre != own_data_centre_) cost += kOtherDataCentreMs;
  if (now < row.avoid_until) cost += kAvoidedMs;
  return cost;
}

tl::expected<placement, placement_failure> service_placement::Choose(const placement_query& query,
                                                                     time_point now) const {
  const fleet_upstream* best = nullptr;
  double best_ms = std::numeric_limits<double>::infinity();
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
    if (cost >= best_ms) continue;
    best_ms = cost;
    best = row;
  }
  if (!any) return tl::make_unexpected(placement_failure{"no_upstream", seconds(1)});
  if (best == nullptr) {
    return tl::make_unexpected(
        placement_failure{"upstreams_full", std::max<duration>(kMinRetryAfter, answer)});
  }
  const duration expected(static_cast<std::int64_t>(best_ms * 1000));
  return placement{best->id, {}, 0, expected};
}

}  // namespace hawthorndrum
