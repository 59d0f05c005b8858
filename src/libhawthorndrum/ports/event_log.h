/// The port through which the core writes the structured log.
#pragma once

#include <string_view>

namespace hawthorndrum {

class log_record;

/** The importance of a record. When there are too many, the least important are dropped first. */
enum class log_importance { kRoutine, kNotable, kImportant };

/**
 * Writes records without blocking. Records over the limit of their event are dropped and counted.
 */
class event_log {
 public:
  virtual ~event_log() = default;
  virtual void Write(log_importance importance, const log_record& record) = 0;
};

}  // namespace hawthorndrum
