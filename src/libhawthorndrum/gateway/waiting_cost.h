/// The time that callers lose by waiting, for each split of a service's engines.
///
/// The load is a mix of long prompts and long answers whose ratio shifts. A stage that is loaded
/// near its capacity makes its requests wait, so the best split loads both stages alike.
#pragma once

#include <cstddef>

#include "systems/split_cost.h"

namespace hawthorndrum {

/** The work of a stage over some time, in engines that it would keep fully busy. */
struct varying_load {
  double mean = 0;
  /** Standard deviation; the mix swings faster than engines can change their stage. */
  double deviation = 0;
};

/**
 * Adds up the queues of both stages, as if each engine had its own with random arrivals. Decode
 * engines have no queue while slots are free, but their streams slow down in the same way.
 */
class waiting_cost : public split_cost {
 public:
  waiting_cost(varying_load prefill, varying_load decode) : prefill_(prefill), decode_(decode) {}

  double PerSecond(std::size_t prefill, std::size_t decode) const override;

 private:
  varying_load prefill_;
  varying_load decode_;
};

}  // namespace hawthorndrum
