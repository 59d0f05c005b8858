/// Limits the calls to the platform's API.
#pragma once

#include <deque>

#include "base/units.h"

namespace hawthorndrum {

/**
 * Permits a share of the rate that the platform accepts from all daemons: two duties may have
 * different holders, and a call of a former holder may still be counted.
 */
class call_pace {
 public:
  /** `calls_per_second` is the rate for all daemons. */
  explicit call_pace(double calls_per_second);

  /** Counts a call if it may be made now. */
  bool Take(time_point now);

 private:
  std::size_t limit_;
  /** When the calls of the last second were made. */
  std::deque<time_point> taken_;
};

}  // namespace hawthorndrum
