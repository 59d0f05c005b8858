/// Growing, jittered pauses between tries.
#pragma once

#include "base/units.h"
#include "ports/random_source.h"

namespace hawthorndrum {

/**
 * Doubles the longest pause with each failure and draws the pause from its upper half to the whole
 * of it, so that many daemons that failed together do not come back together.
 */
class backoff {
 public:
  backoff(duration first, duration longest) : first_(first), longest_(longest), bound_(first) {}

  duration Next(random_source& random) {
    const duration bound = bound_;
    bound_ = bound_ * 2 < longest_ ? bound_ * 2 : longest_;
    return bound / 2 + duration(static_cast<duration::rep>(
                           random.Fraction() * static_cast<double>((bound / 2).count())));
  }
  void Reset() { bound_ = first_; }

 private:
  duration first_;
  duration longest_;
  duration bound_;
};

}  // namespace hawthorndrum
