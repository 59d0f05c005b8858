/// Chooses the upstream of a plain service for a call.
///
/// Calls are short and go to a few upstreams, of which some become slow, fail part of their calls
/// or crash. Each call goes to the upstream with the earliest expected answer.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "gateway/placement.h"

namespace hawthorndrum {

class fleet_table;
struct fleet_upstream;

/**
 * Ranks all upstreams of the service by the expected time to the answer, with penalties for recent
 * failures and for another data centre.
 */
class service_placement {
 public:
  service_placement(fleet_table& fleet, std::string own_data_centre);

  tl::expected<placement, placement_failure> Choose(const placement_query& query,
                                                    time_point now) const;

  /** Records that an answer took `taken`. */
  static void Observe(fleet_upstream& row, duration taken);

 private:
  double CostOf(const fleet_upstream& row, const placement_query& query, time_point now) const;

  fleet_table& fleet_;
  std::string own_data_centre_;
};

}  // namespace hawthorndrum
