/// How long an answer would take at an upstream.
#pragma once

#include <cstdint>

#include "base/units.h"
#include "tables/upstream.h"

namespace hawthorndrum {

class own_work;

/** The work of one request, in tokens. */
struct work_shape {
  std::uint64_t prefill_tokens = 0;
  std::uint64_t output_tokens = 0;
};

/**
 * `first_token` and `whole` count from now; `wait` is the part of `first_token` that is spent
 * behind other requests.
 */
struct load_estimate {
  duration wait{0};
  duration first_token{0};
  duration whole{0};
  /** Whether nothing is known to run there. */
  bool is_idle = false;
};

/**
 * Estimates from the last report, corrected by this daemon's own work since the report was made.
 * What the report says of the queue is discounted by its age.
 */
load_estimate EstimateLoad(const upstream& row, const own_work& own, const work_shape& work,
                           time_point now);

}  // namespace hawthorndrum
