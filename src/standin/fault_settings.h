/// Faults that a stand-in injects.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "base/units.h"

namespace hawthorndrum {

/**
 * The fault switches described in docs/protocols.md. The defaults inject no fault.
 */
struct fault_settings {
  duration delay{0};
  bool down = false;
  bool hang = false;
  bool drop_before = false;
  bool drop_after = false;
  duration late{0};
  duration lag{0};
  std::string crash_on;
  std::uint32_t cut_after_tokens = 0;
  bool refuse = false;
  bool pause = false;
  /** Number of calls to which the faults still apply; negative for no limit. */
  std::int64_t times = -1;
  std::string match;

  /** Whether the faults apply to a call to `target` now. */
  bool AppliesTo(std::string_view target) const {
    return times != 0 && target.find(match) != std::string_view::npos;
  }
};

fault_settings ReadFaultSettings(const nlohmann::json& text);

}  // namespace hawthorndrum
