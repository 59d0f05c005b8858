/// Chooses the upstream of a plain service for a call.
///
/// Answers short calls to a few upstreams of which some turn slow, fail part of their calls or
/// crash: calls go where the expected answer comes first.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "gateway/placement.h"

namespace hawthorndrum {

class fleet_table;
struct fleet_upstream;

/**
 * Weighs all upstreams of the service by the expected time to the answer, with a price on the
 * failures of late and on the way to another data centre.
 */
class service_placement {
 public:
  service_placement(fleet_table& fleet, std::string own_data_centre);

  tl::expected<placement, no_place> Choose(const placement_query& query, time_point now) const;

  /** An answer came after `taken`. */
  static void Observe(fleet_upstream& row, duration taken);

 private:
  double CostOf(const fleet_upstream& row, const placement_query& query, time_point now) const;

  fleet_table& fleet_;
  std::string own_data_centre_;
};

}  // namespace hawthorndrum
