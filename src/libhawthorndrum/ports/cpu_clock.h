/// The port through which a daemon learns how much processor time it has used.
#pragma once

#include <cstdint>

namespace hawthorndrum {

/**
 * The processor time of the calling thread.
 */
class cpu_clock {
 public:
  virtual ~cpu_clock() = default;
  /** In nanoseconds, from any start. */
  virtual std::uint64_t ThreadNanoseconds() const = 0;
};

}  // namespace hawthorndrum
