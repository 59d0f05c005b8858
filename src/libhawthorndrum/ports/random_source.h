/// The port through which the core draws random numbers.
#pragma once

#include <cstdint>

namespace hawthorndrum {

class random_source {
 public:
  virtual ~random_source() = default;

  /** Draws a 64-bit value other than 0. */
  virtual std::uint64_t Draw() = 0;

  /** Draws an integer from [0, bound); returns 0 for a bound of 0. */
  std::uint64_t Below(std::uint64_t bound) { return bound == 0 ? 0 : Draw() % bound; }

  /** Draws a number from [0, 1). */
  double Fraction() { return static_cast<double>(Draw() >> 11) * 0x1.0p-53; }
};

}  // namespace hawthorndrum
