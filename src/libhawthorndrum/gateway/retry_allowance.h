/// This daemon's share of each service's retry budget.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/units.h"

namespace hawthorndrum {

/** Limits on the calls that all daemons together may send beyond one per request. */
struct retry_limits {
  /** Extra calls per request. */
  double ratio = 0.1;
  /** Further extra calls in any period of length `window`. */
  double reserve = 10;
  duration window = seconds(10);
};

/**
 * Counts each service's requests and extra calls over a sliding window. A daemon may spend the
 * ratio of its own requests and its share of the reserve (`fleet_share`), so all daemons together
 * stay within the limits without coordination, whatever their number.
 *
 * When an outage fails many requests at once, the budget earned in the window before may be spent
 * at once.
 */
class retry_allowance {
 public:
  explicit retry_allowance(retry_limits limits) : limits_(limits) {}

  /** Sets the part of the reserve that this daemon may spend, from 0 to 1; it is 0 at first. */
  void SetShare(double share) { share_ = share; }
  /** Counts a request that arrived for the service. */
  void Earn(const std::string& service, time_point now);
  /** Takes one retry from the budget; returns false if none is left. */
  bool Spend(const std::string& service, time_point now);
  /** Counts an extra call that was made without regard to the budget. */
  void Charge(const std::string& service, time_point now);
  /** Returns the retries that are left; negative when forced extra calls exceed the budget. */
  double Remaining(const std::string& service, time_point now);

 private:
  /** Shares of the limits that may be spent; the rest covers calls that upstreams refuse. */
  static constexpr double kRatioMargin = 0.75;
  static constexpr double kReserveMargin = 0.4;
  /** Number of parts of the window, each with its own counters. */
  static constexpr std::size_t kParts = 20;

  struct part {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t extra_calls = 0;
  };
  /**
   * Has one part more than the window, so that extra calls are counted for at least a full window,
   * whenever it begins.
   */
  using history = std::array<part, kParts + 1>;

  part& PartOf(const std::string& service, time_point now);
  std::int64_t NumberOf(time_point now) const;

  retry_limits limits_;
  double share_ = 0;
  std::unordered_map<std::string, history> by_service_;
};

}  // namespace hawthorndrum
