/// Chooses the upstream of a plain service for a call.
///
/// Calls are short and go to a few upstreams, of which some become slow, fail part of their calls
/// or crash. Each call goes to the upstream with the earliest expected answer.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "crossing/crossing_room.h"
#include "gateway/placement.h"

namespace hawthorndrum {

class crossing_policy;
class fleet_table;
struct fleet_upstream;

/**
 * Ranks all upstreams of the service by the expected time to the answer, with penalties for recent
 * failures and for bytes to another data centre. One there is chosen only if it wins more time than
 * it costs, within the share of its free slots that this daemon may use.
 */
class service_placement {
 public:
  service_placement(fleet_table& fleet, crossing_policy& crossing);

  tl::expected<placement, placement_failure> Choose(const placement_query& query,
                                                    time_point now) const;

  /** Records that an answer took `taken`. */
  static void Observe(fleet_upstream& row, duration taken);

 private:
  struct candidate {
    const fleet_upstream* row = nullptr;
    double cost_ms = 0;
  };
  static bool HasFreeSlot(const fleet_upstream& row);
  /** Returns the penalty for recent failures and refusals. */
  static double RiskMs(const fleet_upstream& row, const placement_query& query, time_point now);
  double CostOf(const fleet_upstream& row, const placement_query& query, time_point now) const;
  /** Returns the free slots of the service's upstreams in that data centre. */
  crossing_room RoomIn(const std::string& service, const std::string& data_centre,
                       time_point now) const;
  /** Returns why a request leaves for the far upstream, or that it stays. */
  crossing_reason WhyLeave(const candidate& near, const candidate& far,
                           const placement_query& query, time_point now) const;

  fleet_table& fleet_;
  crossing_policy& crossing_;
};

}  // namespace hawthorndrum
