/// Conversion of fractional numbers to whole ones that gives the same on each architecture.
#pragma once

#include <cstdint>
#include <limits>

#include "base/units.h"

namespace hawthorndrum {

/**
 * Returns the number without its fraction; the nearer bound if it is beyond them, and the lowest
 * for a NaN.
 */
template <typename Whole>
Whole Saturated(double value, Whole lowest = std::numeric_limits<Whole>::min(),
                Whole highest = std::numeric_limits<Whole>::max()) {
  if (!(value > static_cast<double>(lowest))) return lowest;
  if (value >= static_cast<double>(highest)) return highest;
  return static_cast<Whole>(value);
}

/** No time that is configured or estimated is longer: a point in time plus it can't overflow. */
constexpr duration kLongestDuration = std::chrono::hours(24 * 365);

/** Returns the time, between zero and kLongestDuration. */
inline duration BoundedMilliseconds(double ms) {
  return duration(Saturated<std::int64_t>(ms * 1000, 0, kLongestDuration.count()));
}

}  // namespace hawthorndrum
