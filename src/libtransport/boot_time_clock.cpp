/// Implements the clock port with CLOCK_BOOTTIME, which includes the time a host is suspended.
#include "boot_time_clock.h"

#include <time.h>

namespace hawthorndrum {

time_point boot_time_clock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(seconds(now.tv_sec) + duration(now.tv_nsec / 1000));
}

}  // namespace hawthorndrum
