/// Counts the calls of the last second.
#include "duties/call_pace.h"

#include <algorithm>

namespace hawthorndrum {

namespace {

constexpr double kShareOfRate = 0.5;

}  // namespace

call_pace::call_pace(double calls_per_second)
    : limit_(static_cast<std::size_t>(std::max(1.0, calls_per_second * kShareOfRate))) {}

bool call_pace::Take(time_point now) {
  while (!taken_.empty() && now - taken_.front() >= seconds(1)) taken_.pop_front();
  if (taken_.size() >= limit_) return false;
  taken_.push_back(now);
  return true;
}

}  // namespace hawthorndrum
