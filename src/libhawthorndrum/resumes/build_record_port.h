/// Reads the record of settled builds for a stream that nobody remembers.
#pragma once

#include "base/units.h"

namespace hawthorndrum {

class build_record_port {
 public:
  virtual ~build_record_port() = default;

  /**
   * Asks for the record to be read; returns whether it will be. The result is reported later,
   * within a second, through stream_resumes::OnRecord.
   */
  virtual bool Request(time_point now) = 0;
};

}  // namespace hawthorndrum
