/// The port to the structured log.
#pragma once

#include <string_view>

namespace hawthorndrum {

class log_record;

/** What goes first when there is more than may be written: the least important. */
enum class log_importance { kRoutine, kNotable, kImportant };

/**
 * Takes records; never blocks. A record beyond the bounds of its kind is counted and left out.
 */
class event_log {
 public:
  virtual ~event_log() = default;
  virtual void Write(log_importance importance, const log_record& record) = 0;
};

}  // namespace hawthorndrum
