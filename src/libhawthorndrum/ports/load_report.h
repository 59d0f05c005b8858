/// The state and load that an engine reports.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "ports/engine_order.h"

namespace hawthorndrum {

enum class engine_state { kReady, kChanging, kDraining };

enum class order_progress { kNone, kRunning, kDone, kFailed };

struct loaded_model {
  std::string name;
  std::string version;
  std::vector<std::string> adapters;
};

/**
 * An engine's report. It may lag behind the engine's present state.
 */
struct load_report {
  upstream_id upstream;
  std::uint64_t engine_incarnation = 0;
  engine_role role = engine_role::kMixed;
  engine_state state = engine_state::kReady;
  std::vector<loaded_model> models;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint64_t queued_prefill_tokens = 0;
  double prefill_tokens_per_second = 0;
  double decode_tokens_per_second = 0;
  std::uint64_t kv_used_bytes = 0;
  std::uint64_t kv_total_bytes = 0;
  lease_term term;
  order_id last_order;
  order_progress last_order_progress = order_progress::kNone;
};

}  // namespace hawthorndrum
