/// The port through which the core draws random numbers.
#pragma once

#include <cstdint>

namespace hawthorndrum {

class random_source {
 public:
  virtual ~random_source() = default;

  /** Draws from all 64-bit values but 0. */
  virtual std::uint64_t Draw() = 0;

  /** Draws from [0, bound); returns 0 for a bound of 0. */
  std::uint64_t Below(std::uint64_t bound) { return bound == 0 ? 0 : Draw() % bound; }

  /** Draws from [0, 1). */
  double Fraction() { return static_cast<double>(Draw() >> 11) * 0x1.0p-53; }
};

}  // namespace hawthorndrum
