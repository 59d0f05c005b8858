/// Sliding-window accounting of retries.
#include "gateway/retry_allowance.h"

#include <algorithm>

namespace hawthorndrum {

std::int64_t retry_allowance::NumberOf(time_point now) const {
  const duration part_length = std::max<duration>(duration(1), limits_.window / kParts);
  return now.time_since_epoch() / part_length;
}

retry_allowance::part& retry_allowance::PartOf(const std::string& service, time_point now) {
  const std::int64_t number = NumberOf(now);
  part& current = by_service_[service][static_cast<std::size_t>(number) % (kParts + 1)];
  if (current.number != number) current = {number, 0, 0};
  return current;
}

void retry_allowance::Earn(const std::string& service, time_point now) {
  PartOf(service, now).requests += 1;
}

void retry_allowance::Charge(const std::string& service, time_point now) {
  PartOf(service, now).extra_calls += 1;
}

bool retry_allowance::Spend(const std::string& service, time_point now) {
  if (Remaining(service, now) < 1) return false;
  Charge(service, now);
  return true;
}

double retry_allowance::Remaining(const std::string& service, time_point now) {
  const std::int64_t number = NumberOf(now);
  double requests = 0;
  double extra_calls = 0;
  for (const part& each : by_service_[service]) {
    const std::int64_t age = number - each.number;
    if (each.number < 0 || age > static_cast<std::int64_t>(kParts)) continue;
    extra_calls += each.extra_calls;
    if (age < static_cast<std::int64_t>(kParts)) requests += each.requests;
  }
  const double reserve = limits_.reserve * kReserveMargin * share_;
  return requests * limits_.ratio * kRatioMargin + reserve - extra_calls;
}

}  // namespace hawthorndrum
