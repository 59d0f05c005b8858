/// An event log that keeps its records for tests.
#pragma once

#include <string>
#include <vector>

#include "base/log_record.h"
#include "ports/event_log.h"

namespace hawthorndrum {

class recording_log : public event_log {
 public:
  void Write(log_importance, const log_record& record) override {
    events.push_back(record.event());
    lines.push_back(record.ToLine());
  }
  /** Returns the last line of that event, or an empty text. */
  std::string LastOf(const std::string& event) const {
    for (std::size_t i = events.size(); i > 0; --i) {
      if (events[i - 1] == event) return lines[i - 1];
    }
    return {};
  }

  std::vector<std::string> events;
  std::vector<std::string> lines;
};

}  // namespace hawthorndrum
