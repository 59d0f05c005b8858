/// This daemon's share of the retries that a service may get.
#pragma once

#include <string>
#include <unordered_map>

#include "base/units.h"

namespace hawthorndrum {

/** What all daemons together may send beyond the first try of each request. */
struct retry_limits {
  /** Extra calls for each request. */
  double ratio = 0.1;
  /** Extra calls in any span of `window` besides. */
  double reserve = 10;
  duration window = seconds(10);
};

/**
 * A bucket for each service: requests earn the ratio, and each daemon holds an equal share of the
 * reserve, half of it as the bucket's size and half as its refill over a window. What one daemon
 * spends in any window is at most its share and what it earned, so the sum over all daemons stays
 * within the limits without asking anyone.
 */
class retry_allowance {
 public:
  explicit retry_allowance(retry_limits limits) : limits_(limits) {}

  void SetDaemons(std::size_t daemons) { daemons_ = daemons == 0 ? 1 : daemons; }
  void Earn(const std::string& service) { BucketOf(service).level += limits_.ratio * kRatioMargin; }
  /** Takes one retry if there is one. */
  bool Spend(const std::string& service, time_point now);
  /** Counts an extra call that was made whether it was allowed or not. */
  void Charge(const std::string& service) { BucketOf(service).level -= 1; }
  double LevelOf(const std::string& service) { return BucketOf(service).level; }

 private:
  /** Calls that upstreams refuse are extra calls that nobody chose; the rest is kept for them. */
  static constexpr double kRatioMargin = 0.75;
  static constexpr double kReserveMargin = 0.4;
  struct bucket {
    double level = 0;
    time_point filled;
  };

  double Share() const { return limits_.reserve * kReserveMargin / static_cast<double>(daemons_); }
  bucket& BucketOf(const std::string& service);

  retry_limits limits_;
  std::size_t daemons_ = 1;
  std::unordered_map<std::string, bucket> buckets_;
};

}  // namespace hawthorndrum
