/// This daemon's share of the retries that a service may get.
#pragma once

#include <array>
#include <cstdint>
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
 * Counts requests and extra calls of each service over the last window. A daemon may spend the
 * ratio of its own requests and an equal share of the reserve, so the sum over all daemons stays
 * within the limits without asking anyone, however many daemons there are.
 *
 * Answers an outage that fails many requests at once: what was earned in the quiet before may be
 * spent together.
 */
class retry_allowance {
 public:
  explicit retry_allowance(retry_limits limits) : limits_(limits) {}

  void SetDaemons(std::size_t daemons) { daemons_ = daemons == 0 ? 1 : daemons; }
  /** A request for the service arrived. */
  void Earn(const std::string& service, time_point now);
  /** Takes one retry if there is one. */
  bool Spend(const std::string& service, time_point now);
  /** Counts an extra call that was made whether it was allowed or not. */
  void Charge(const std::string& service, time_point now);
  /** Retries that are left; negative when extra calls were made that nobody chose. */
  double LevelOf(const std::string& service, time_point now);

 private:
  /** Calls that upstreams refuse are extra calls that nobody chose; the rest is kept for them. */
  static constexpr double kRatioMargin = 0.75;
  static constexpr double kReserveMargin = 0.4;
  /** Parts of the window that are counted apart. */
  static constexpr std::size_t kParts = 20;

  struct part {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t extra_calls = 0;
  };
  /**
   * One part more than the window has, so that extra calls are counted for a little longer than a
   * window, whatever moment it begins at.
   */
  using history = std::array<part, kParts + 1>;

  part& PartOf(const std::string& service, time_point now);
  std::int64_t NumberOf(time_point now) const;

  retry_limits limits_;
  std::size_t daemons_ = 1;
  std::unordered_map<std::string, history> by_service_;
};

}  // namespace hawthorndrum
