/// What a daemon's own calls of a service to one data centre have shown.
#pragma once

#include "base/units.h"

namespace hawthorndrum {

/**
 * Invariants: the trust is between kLeastTrust and 1; all averages are in milliseconds or ratios of
 * the expected time.
 */
class link_results {
 public:
  static constexpr double kLeastTrust = 0.05;

  /** Records a call that took that long; it was expected to take `expected` without the link. */
  void OnAnswer(duration expected, duration taken);
  /** Records a result that is worse, or not worse, than at near upstreams. */
  void Judge(bool is_bad, time_point now);

  /** Returns the time that even the fast calls take beyond what is expected. */
  double LowLatenessMs() const { return low_lateness_ms_; }
  /** Returns the usual ratio of the time taken to the time expected. */
  double Ratio() const { return ratio_; }
  /** Returns how long a call usually takes. */
  duration CallTime() const { return call_time_; }
  /** Returns how far loads there are believed; recovers with time, so that they are tried again. */
  double Trust(time_point now) const;
  int answers() const { return answers_; }

 private:
  double low_lateness_ms_ = 0;
  double ratio_ = 1;
  duration call_time_ = milliseconds(100);
  double trust_ = 1;
  time_point judged_at_;
  int answers_ = 0;
};

}  // namespace hawthorndrum
