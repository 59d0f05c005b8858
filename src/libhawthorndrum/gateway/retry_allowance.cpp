/// Earning and spending retries.
#include "gateway/retry_allowance.h"

#include <algorithm>

namespace hawthorndrum {

retry_allowance::bucket& retry_allowance::BucketOf(const std::string& service) {
  const auto [place, added] = buckets_.try_emplace(service);
  if (added) place->second.level = Share() / 2;
  return place->second;
}

bool retry_allowance::Spend(const std::string& service, time_point now) {
  bucket& from = BucketOf(service);
  // Half of the share is there at once and the other half comes back within each window.
  const double half = Share() / 2;
  if (from.filled != time_point()) {
    from.level += half * ToSeconds(now - from.filled) / ToSeconds(limits_.window);
  }
  from.filled = now;
  from.level = std::min(from.level, half);
  if (from.level < 1) return false;
  from.level -= 1;
  return true;
}

}  // namespace hawthorndrum
