/// Leaves the lease for orders to other daemons while this one reaches no upstream.
#pragma once

#include <optional>

#include "base/units.h"
#include "systems/system.h"

namespace hawthorndrum {

class gateway;
class lease_system;

/** The orders of a holder that reaches no upstream would reach no engine. */
class order_eligibility : public system {
 public:
  /** A change of the holder delays orders for seconds, so a shorter cut is waited out. */
  static constexpr duration kToleratedCut = seconds(1);

  order_eligibility(const gateway& served, lease_system& lease);

  void Run(time_point now) override;

 private:
  const gateway& gateway_;
  lease_system& lease_;
  /** Since when no upstream has been reached. */
  std::optional<time_point> cut_off_since_;
};

}  // namespace hawthorndrum
