/// Estimates how long an answer takes at an upstream.
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
 * Times until the first token and until the whole answer, counted from now. `wait` is the part of
 * `first_token` that is spent waiting for other requests.
 */
struct load_estimate {
  duration wait{0};
  duration first_token{0};
  duration whole{0};
  /** Whether the upstream is not known to run anything. */
  bool is_idle = false;
};

/**
 * Estimates from the last load report, corrected by the work that this daemon has sent since. The
 * reported queue is discounted by the report's age.
 */
load_estimate EstimateLoad(const upstream& row, const own_work& own, const work_shape& work,
                           time_point now);

}  // namespace hawthorndrum
