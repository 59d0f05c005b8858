/// A token bucket: a steady rate with a bounded burst.
#pragma once

#include <algorithm>

#include "base/units.h"

namespace hawthorndrum {

/**
 * Starts full. Invariant: 0 <= level_ <= burst_.
 */
class token_bucket {
 public:
  token_bucket(double per_second, double burst)
      : per_second_(per_second), burst_(burst), level_(burst) {}

  /** Takes a token if there is one. */
  bool Take(time_point now) {
    Refill(now);
    if (level_ < 1) return false;
    level_ -= 1;
    return true;
  }

  /** Adds to the level, for buckets that are not filled by time. */
  void Add(double amount) { level_ = std::min(burst_, level_ + amount); }

  /** Changes the limits; the level is capped at the new burst. */
  void SetLimits(double per_second, double burst) {
    per_second_ = per_second;
    burst_ = burst;
    level_ = std::min(level_, burst_);
  }

  /** Returns the time until the next token. */
  duration UntilNext() const {
    if (level_ >= 1) return duration::zero();
    if (per_second_ <= 0) return seconds(60);
    const std::chrono::duration<double> wait((1 - level_) / per_second_);
    return std::chrono::duration_cast<duration>(wait);
  }

 private:
  void Refill(time_point now) {
    if (now > filled_ && filled_ != time_point()) {
      level_ = std::min(burst_, level_ + per_second_ * ToSeconds(now - filled_));
    }
    filled_ = std::max(now, filled_);
  }

  double per_second_;
  double burst_;
  double level_;
  time_point filled_;
};

}  // namespace hawthorndrum
