/// Limits on requests that spill between data centres: a small share of the service's own.
#include "systems/spill_limits.h"

#include <algorithm>
#include <iterator>

namespace hawthorndrum {

namespace {

constexpr duration kSweepPeriod = seconds(10);
constexpr duration kIdleExpiry = seconds(120);

}  // namespace

bool spill_limits::Take(const std::string& key, const service_limits& limits, double trust,
                        time_point now) {
  const double per_second = trust * limits.requests_per_second / kShare;
  const double burst = std::max(1.0, static_cast<double>(limits.burst) / kShare);
  auto [found, added] = shares_.try_emplace(key);
  share& one = found->second;
  if (added) one.rate = token_bucket(per_second, burst);
  one.last_used = now;
  one.rate.SetLimits(per_second, burst);
  if (now < one.avoid_until) return false;
  if (one.open >= std::max(1U, limits.concurrency / kShare)) return false;
  if (!one.rate.Take(now)) return false;
  one.open += 1;
  return true;
}

void spill_limits::Release(const std::string& key) {
  const auto found = shares_.find(key);
  if (found != shares_.end() && found->second.open > 0) found->second.open -= 1;
}

void spill_limits::Avoid(const std::string& key, time_point until) {
  const auto found = shares_.find(key);
  if (found == shares_.end()) return;
  found->second.avoid_until = std::max(found->second.avoid_until, until);
}

void spill_limits::Run(time_point now) {
  if (now - last_sweep_ < kSweepPeriod) return;
  last_sweep_ = now;
  for (auto one = shares_.begin(); one != shares_.end();) {
    const bool idle = one->second.open == 0 && now - one->second.last_used > kIdleExpiry;
    one = idle ? shares_.erase(one) : std::next(one);
  }
}

}  // namespace hawthorndrum
