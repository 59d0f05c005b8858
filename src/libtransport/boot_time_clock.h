/// Implements the clock port with CLOCK_BOOTTIME.
#pragma once

#include "ports/clock.h"

namespace hawthorndrum {

class boot_time_clock : public clock {
 public:
  time_point Now() const override;
};

}  // namespace hawthorndrum
