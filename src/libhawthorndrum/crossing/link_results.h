/// What a daemon's own calls of a service to one data centre have shown.
#pragma once

#include "base/units.h"

namespace hawthorndrum {

/**
 * Invariant: the trust is between kLeastTrust and 1.
 */
class link_results {
 public:
  static constexpr double kLeastTrust = 0.05;
  static constexpr int kEnoughAnswers = 8;

  /** Records a call that took that long; it was expected to take `expected` without the link. */
  void OnAnswer(duration expected, duration taken);
  /** Records a result that is worse, or not worse, than at near upstreams. */
  void Judge(bool is_bad, time_point now);

  /** Returns the mean time that calls take beyond what is expected; zero until enough were made. */
  double LatenessMs() const { return answers_ < kEnoughAnswers ? 0 : lateness_ms_; }
  /** Returns the usual ratio of the time taken to the time expected. */
  double Ratio() const { return ratio_; }
  /** Returns how long a call usually takes. */
  duration CallTime() const { return call_time_; }
  /** Returns how far loads there are believed; recovers with time, so that they are tried again. */
  double Trust(time_point now) const;

 private:
  double lateness_ms_ = 0;
  double ratio_ = 1;
  duration call_time_ = milliseconds(100);
  double trust_ = 1;
  time_point judged_at_;
  int answers_ = 0;
};

}  // namespace hawthorndrum
