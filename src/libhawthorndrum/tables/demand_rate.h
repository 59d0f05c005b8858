/// A rate that forgets: tokens a second over the last seconds.
#pragma once

#include <cmath>

#include "base/units.h"

namespace hawthorndrum {

/**
 * Adds up amounts and lets them fade with a time constant; the sum over that constant is the rate.
 */
class demand_rate {
 public:
  explicit demand_rate(duration memory = seconds(15)) : memory_(memory) {}

  void Add(double amount, time_point now) {
    Fade(now);
    sum_ += amount;
  }

  /** Amount a second. */
  double PerSecond(time_point now) const { return sum_ * Remaining(now) / ToSeconds(memory_); }

 private:
  double Remaining(time_point now) const {
    return now <= last_ ? 1.0 : std::exp(-ToSeconds(now - last_) / ToSeconds(memory_));
  }

  void Fade(time_point now) {
    sum_ *= Remaining(now);
    if (last_ < now) last_ = now;
  }

  duration memory_;
  double sum_ = 0;
  time_point last_;
};

}  // namespace hawthorndrum
