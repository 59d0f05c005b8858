/// Waiting in queues, continued linearly where they are overloaded.
#include "gateway/waiting_cost.h"

#include <algorithm>

namespace hawthorndrum {

namespace {

/** Above this utilisation the number is continued linearly: an overload ends some time. */
constexpr double kMaxUtilisation = 0.9;

/** Returns the mean number that wait for an engine of that utilisation. */
double QueueLength(double utilisation) {
  const double stable = std::min(utilisation, kMaxUtilisation);
  const double free = 1 - stable;
  const double slope = stable * (2 - stable) / (free * free);
  return stable * stable / free + slope * (utilisation - stable);
}

double Waiting(double load, std::size_t engines) {
  if (load <= 0) return 0;
  // Work without any engine waits as if half an engine served it, so that each one is a gain.
  const double count = engines == 0 ? 0.5 : static_cast<double>(engines);
  return count * QueueLength(load / count);
}

/** Returns the mean over a load that is as often above its mean as below it. */
double MeanWaiting(varying_load load, std::size_t engines) {
  const double high = load.mean + load.deviation;
  const double low = std::max(0.0, load.mean - load.deviation);
  return (Waiting(high, engines) + Waiting(low, engines)) / 2;
}

}  // namespace

double waiting_cost::PerSecond(std::size_t prefill, std::size_t decode) const {
  return MeanWaiting(prefill_, prefill) + MeanWaiting(decode_, decode);
}

}  // namespace hawthorndrum
