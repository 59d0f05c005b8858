/// Configuration of an engine stand-in.
#pragma once

#include <string>
#include <vector>

#include "base/units.h"
#include "ports/load_report.h"

namespace hawthorndrum {

/**
 * Rates are in tokens per second; the decode rate applies to a single stream.
 */
struct engine_options {
  std::vector<loaded_model> models;
  engine_role role = engine_role::kMixed;
  bool checks_fencing = true;
  double prefill_tokens_per_second = 8000;
  double decode_tokens_per_second = 50;
  std::uint32_t streams = 32;
  std::uint32_t queue = 64;
  /** Time that a role change or a model or adapter load takes. */
  duration order_time = seconds(2);
  std::uint64_t kv_total_bytes = 16ull << 30;
};

}  // namespace hawthorndrum
