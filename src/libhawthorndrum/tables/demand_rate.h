/// An exponentially decaying rate, such as tokens a second.
#pragma once

#include <cmath>

#include "base/units.h"

namespace hawthorndrum {

/**
 * Sums amounts that decay with a time constant; the sum divided by that constant is the rate.
 */
class demand_rate {
 public:
  explicit demand_rate(duration time_constant = seconds(15)) : time_constant_(time_constant) {}

  void Add(double amount, time_point now) {
    Decay(now);
    sum_ += amount;
  }

  /** Returns the rate in amount per second. */
  double PerSecond(time_point now) const {
    return sum_ * DecayFactor(now) / ToSeconds(time_constant_);
  }

 private:
  double DecayFactor(time_point now) const {
    return now <= updated_at_ ? 1.0
                              : std::exp(-ToSeconds(now - updated_at_) / ToSeconds(time_constant_));
  }

  void Decay(time_point now) {
    sum_ *= DecayFactor(now);
    if (updated_at_ < now) updated_at_ = now;
  }

  duration time_constant_;
  double sum_ = 0;
  time_point updated_at_;
};

}  // namespace hawthorndrum
