/// Plans how many engines prefill and how many decode.
///
/// Prompts are far longer than answers. Decode engines can prefill only what fits into the pauses
/// of their streams, so most engines should only prefill.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "base/ids.h"
#include "gateway/upstream_entry.h"

namespace hawthorndrum {

/** The state of an engine that the plan uses. */
struct planned_engine {
  upstream_id id;
  engine_stage stage = engine_stage::kDecode;
  std::string data_centre;
  /** Requests that run there. */
  std::size_t running = 0;
  /** A change is in progress; `stage` is already the new stage. */
  bool changing = false;
};

/** An engine that should change to `stage`. */
struct stage_change {
  upstream_id engine;
  engine_stage stage = engine_stage::kPrefill;
};

/** The share of prefill engines, and the minimum number in each stage. */
struct stage_shares {
  double prefill_share = 0.78;
  std::size_t min_per_stage = 2;
};

/** Returns how many of `engines` should prefill. */
std::size_t PrefillEngineCount(std::size_t engines, const stage_shares& shares);

/**
 * Returns the changes that bring the fleet to its shares, spread evenly over the data centres and
 * with the least busy engines first. Returns nothing while the count is off by less than `slack`.
 */
std::vector<stage_change> PlanStages(const std::vector<planned_engine>& engines,
                                     const stage_shares& shares, std::size_t slack);

}  // namespace hawthorndrum
