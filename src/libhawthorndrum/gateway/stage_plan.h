/// How many engines should read prompts and how many generate tokens.
///
/// Answers the load of prompts that are far longer than answers: engines that generate may read
/// only as much as fits into the pauses of their streams, so most engines should only read.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "base/ids.h"
#include "gateway/upstream_entry.h"

namespace hawthorndrum {

/** An engine as the plan sees it. */
struct planned_engine {
  upstream_id id;
  engine_stage stage = engine_stage::kDecode;
  std::string data_centre;
  /** Requests that run there. */
  std::size_t running = 0;
  /** A change is under way; it counts as the stage that it will have. */
  bool changing = false;
};

/** An engine that should change to the stage. */
struct stage_change {
  upstream_id engine;
  engine_stage stage = engine_stage::kPrefill;
};

/** The share of engines that read, and what no plan goes below. */
struct stage_shares {
  double reading = 0.78;
  std::size_t fewest_of_each = 2;
};

/** The number of engines that should read, of so many. */
std::size_t EnginesThatRead(std::size_t engines, const stage_shares& shares);

/**
 * The changes that bring the fleet to its shares, the least busy engines first, spread evenly over
 * the data centres. Nothing while the count is off by less than `slack`.
 */
std::vector<stage_change> PlanStages(const std::vector<planned_engine>& engines,
                                     const stage_shares& shares, std::size_t slack);

}  // namespace hawthorndrum
