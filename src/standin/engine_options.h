/// How an engine stand-in behaves.
#pragma once

#include <string>
#include <vector>

#include "base/units.h"
#include "ports/load_report.h"

namespace hawthorndrum {

/**
 * Rates are tokens a second; the decode rate is that of one stream.
 */
struct engine_options {
  std::vector<loaded_model> models;
  engine_role role = engine_role::kMixed;
  bool checks_fencing = true;
  double prefill_tokens_per_second = 8000;
  double decode_tokens_per_second = 50;
  std::uint32_t streams = 32;
  std::uint32_t queue = 64;
  /** How long a role change or a load takes. */
  duration order_time = seconds(2);
  std::uint64_t kv_total_bytes = 16ull << 30;
};

}  // namespace hawthorndrum
