/// What came of a load.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

/** Times counted from the moment at which a request was due, so that a stall counts. */
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

/** The value below which that share of the values lies; zero without values. */
duration Quantile(std::vector<duration> values, double share);

nlohmann::json ToJson(const load_result& result);

}  // namespace hawthorndrum
