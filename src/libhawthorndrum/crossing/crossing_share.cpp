/// The rate at which one daemon sends requests to free slots of another data centre.
#include "crossing/crossing_share.h"

#include <algorithm>

#include "ports/random_source.h"

namespace hawthorndrum {

namespace {

/** Without requests for this long, the level says nothing about what other senders do. */
constexpr duration kPause = seconds(1);

}  // namespace

bool crossing_share::Take(double slots, duration call_time, random_source& random, time_point now) {
  if (!started_ || now - updated_ > kPause) {
    // A share of whole slots is within what is free, whatever the other senders do.
    level_ = slots >= 1 ? slots : random.Fraction();
    updated_ = now;
    started_ = true;
  }
  const double per_second = slots / std::max(0.001, ToSeconds(call_time));
  level_ += per_second * ToSeconds(now - updated_);
  level_ = std::min(level_, std::max(1.0, slots));
  updated_ = now;
  if (level_ < 1) return false;
  level_ -= 1;
  return true;
}

}  // namespace hawthorndrum
