/// The port through which the core reads the time.
#pragma once

#include "base/units.h"

namespace hawthorndrum {

/**
 * The daemon's own monotonic clock. Time points of different daemons can't be compared.
 */
class clock {
 public:
  virtual ~clock() = default;
  virtual time_point Now() const = 0;
};

}  // namespace hawthorndrum
