/// Time points and durations on the daemon's own monotonic clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace hawthorndrum {

/** The clock of the clock port: CLOCK_BOOTTIME, which also advances while a host is suspended. */
struct boot_clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
};

using time_point = boot_clock::time_point;
using duration = boot_clock::duration;

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Converts to whole milliseconds, truncated towards zero. */
constexpr std::int64_t ToMilliseconds(duration d) {
  return std::chrono::duration_cast<milliseconds>(d).count();
}

/** Converts to seconds. */
constexpr double ToSeconds(duration d) { return std::chrono::duration<double>(d).count(); }

}  // namespace hawthorndrum
