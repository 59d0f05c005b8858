/// Parsing of fault switches.
#include "fault_settings.h"

#include <nlohmann/json.hpp>

namespace hawthorndrum {

fault_settings ReadFaultSettings(const nlohmann::json& text) {
  fault_settings faults;
  faults.delay = milliseconds(text.value("delay_ms", 0));
  faults.down = text.value("down", false);
  faults.hang = text.value("hang", false);
  faults.drop_before = text.value("drop_before", false);
  faults.drop_after = text.value("drop_after", false);
  faults.late = milliseconds(text.value("late_ms", 0));
  faults.lag = milliseconds(text.value("lag_ms", 0));
  faults.crash_on = text.value("crash_on", std::string());
  faults.cut_after_tokens = text.value("cut_after_tokens", 0u);
  faults.refuse = text.value("refuse", false);
  faults.pause = text.value("pause", false);
  faults.times = text.value("times", -1);
  faults.match = text.value("match", std::string());
  return faults;
}

}  // namespace hawthorndrum
