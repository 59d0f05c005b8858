/// Chooses the engines that change so that a given number of them prefill.
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
  /**
   * It takes no order now: a change is in progress, with `stage` already the new stage, or it wants
   * no calls.
   */
  bool keeps_stage = false;
};

/** An engine that should change to `stage`. */
struct stage_change {
  upstream_id engine;
  engine_stage stage = engine_stage::kPrefill;
};

/** Returns the number of engines that prefill, or will after their change. */
std::size_t PrefillCount(const std::vector<planned_engine>& engines);

/**
 * Returns the changes after which `wanted` engines prefill, spread evenly over the data centres and
 * with the least busy engines first.
 */
std::vector<stage_change> PlanStages(const std::vector<planned_engine>& engines,
                                     std::size_t wanted);

}  // namespace hawthorndrum
