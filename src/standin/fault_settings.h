/// Which faults a stand-in shows.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "base/units.h"

namespace hawthorndrum {

/**
 * The fault switches of docs/protocols.md. Defaults show no fault.
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
  /** How many calls the faults still apply to; negative for all. */
  std::int64_t times = -1;
  std::string match;

  /** Whether the faults apply to a call to `target` now. */
  bool AppliesTo(std::string_view target) const {
    return times != 0 && target.find(match) != std::string_view::npos;
  }
};

fault_settings ReadFaultSettings(const nlohmann::json& text);

}  // namespace hawthorndrum
