/// Compares the usual time of a route's answers with the time until the stop.
#include "gateway/stop_admission.h"

#include <algorithm>

#include "base/scaled.h"

namespace hawthorndrum {

namespace {

constexpr double kDecayPerAnswer = 0.99;
/** An answer may take this many times the longest one of late. */
constexpr double kSafety = 1.5;

}  // namespace

void stop_admission::Record(const std::string& route, duration taken) {
  duration& longest = longest_[route];
  longest = std::max(taken, Scaled(longest, kDecayPerAnswer));
}

bool stop_admission::MayTake(const std::string& route, duration time_left, time_point now) const {
  if (!ends_at_) return true;
  const auto known = longest_.find(route);
  const duration usual = known == longest_.end() ? time_left : Scaled(known->second, kSafety);
  return now + std::min(usual, time_left) <= *ends_at_;
}

}  // namespace hawthorndrum
