/// What a daemon's own calls of a service to one data centre have shown.
#include "crossing/link_results.h"

#include <algorithm>

namespace hawthorndrum {

namespace {

constexpr double kAverageWeight = 0.1;
constexpr double kMaxRatio = 20;
constexpr double kTrustLoss = 0.6;
constexpr double kTrustGain = 0.05;
/** Time in which a lost trust is fully regained without any result. */
constexpr duration kTrustRegained = seconds(20);

}  // namespace

void link_results::OnAnswer(duration expected, duration taken) {
  const double ratio = std::min(kMaxRatio, ToSeconds(taken) / std::max(0.001, ToSeconds(expected)));
  const double lateness_ms = ToSeconds(taken - expected) * 1000;
  if (answers_++ == 0) {
    lateness_ms_ = lateness_ms;
    call_time_ = taken;
  }
  lateness_ms_ += kAverageWeight * (lateness_ms - lateness_ms_);
  ratio_ += kAverageWeight * (ratio - ratio_);
  const double longer_us = static_cast<double>((taken - call_time_).count());
  call_time_ += duration(static_cast<std::int64_t>(kAverageWeight * longer_us));
}

void link_results::Judge(bool is_bad, time_point now) {
  const double before = Trust(now);
  trust_ = is_bad ? std::max(kLeastTrust, before * kTrustLoss) : std::min(1.0, before + kTrustGain);
  judged_at_ = now;
}

double link_results::Trust(time_point now) const {
  const double regained = ToSeconds(now - judged_at_) / ToSeconds(kTrustRegained);
  return std::min(1.0, trust_ + std::max(0.0, regained));
}

}  // namespace hawthorndrum
