/// The port through which a daemon measures its CPU time.
#pragma once

#include <cstdint>

namespace hawthorndrum {

/**
 * Measures the CPU time of the calling thread.
 */
class cpu_clock {
 public:
  virtual ~cpu_clock() = default;
  /** Returns the CPU time in nanoseconds since an arbitrary start. */
  virtual std::uint64_t ThreadNanoseconds() const = 0;
};

}  // namespace hawthorndrum
