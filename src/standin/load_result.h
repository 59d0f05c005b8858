/// Results of a load run.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

/**
 * Counts and durations of one run. Durations start when a request was due, so that a stall of the
 * sender is included; `between_tokens` holds the gaps between tokens.
 */
struct load_result {
  std::uint64_t sent = 0;
  std::uint64_t whole = 0;
  std::uint64_t useful = 0;
  std::uint64_t lost = 0;
  std::map<int, std::uint64_t> statuses;
  std::vector<duration> first_byte;
  std::vector<duration> total;
  std::vector<duration> between_tokens;
};

/** Returns the quantile of the values at `share` (0 to 1); zero if there are no values. */
duration Quantile(std::vector<duration> values, double share);

nlohmann::json ToJson(const load_result& result);

}  // namespace hawthorndrum
