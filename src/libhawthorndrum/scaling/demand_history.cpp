/// Moving averages and peaks of a load.
#include "scaling/demand_history.h"

#include <algorithm>
#include <cmath>

namespace hawthorndrum {

namespace {

/** Below this, in upstreams, a load is stray requests. */
constexpr double kMinLoad = 0.02;
constexpr double kAveragingSeconds = 10;

}  // namespace

void demand_history::Observe(service_load load, time_point now) {
  if (!saw_load_) {
    if (load.prefill + load.running < kMinLoad) return;
    saw_load_ = true;
    first_load_at_ = observed_at_ = now;
    mean_ = load;
  }
  const double weight = 1 - std::exp(-ToSeconds(now - observed_at_) / kAveragingSeconds);
  observed_at_ = now;
  mean_.prefill += weight * (load.prefill - mean_.prefill);
  mean_.running += weight * (load.running - mean_.running);
  if (steps_.empty() || now - steps_.back().begins >= kStep) steps_.push_back({now, {}});
  service_load& highest = steps_.back().highest;
  highest.prefill = std::max(highest.prefill, load.prefill);
  highest.running = std::max(highest.running, load.running);
  while (now - steps_.front().begins > kPeakWindow) steps_.pop_front();
}

service_load demand_history::peak() const {
  service_load peak;
  for (const step& each : steps_) {
    peak.prefill = std::max(peak.prefill, each.highest.prefill);
    peak.running = std::max(peak.running, each.highest.running);
  }
  return peak;
}

}  // namespace hawthorndrum
