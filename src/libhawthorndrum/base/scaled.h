/// Multiplication of durations by a fractional factor.
#pragma once

#include <cstdint>

#include "base/saturated.h"
#include "base/units.h"

namespace hawthorndrum {

inline duration Scaled(duration time, double factor) {
  return duration(Saturated<std::int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace hawthorndrum
