/// What a service's load was in the past minute.
#pragma once

#include <cstddef>
#include <deque>

#include "base/units.h"

namespace hawthorndrum {

/** Work at present, in upstreams that it would keep fully busy. */
struct service_load {
  /** Prompts to prefill; zero for upstreams that aren't engines. */
  double prefill = 0;
  /** Everything else. */
  double running = 0;
};

/**
 * Invariant: the peak covers the last kPeakWindow, in steps of kStep.
 */
class demand_history {
 public:
  /** Loads come in waves of ten to twenty seconds, and a lull is no reason to reduce a fleet. */
  static constexpr duration kPeakWindow = seconds(60);
  static constexpr duration kStep = seconds(1);
  /** A shorter time under load may show a lull, or a burst, alone. */
  static constexpr duration kMinObserved = seconds(12);

  void Observe(service_load load, time_point now);

  /** Whether there was any load at all. */
  bool saw_load() const { return saw_load_; }
  /** Whether the load was observed for long enough to reduce a fleet to what it needs. */
  bool is_known(time_point now) const { return saw_load_ && now - first_load_at_ >= kMinObserved; }
  service_load mean() const { return mean_; }
  service_load peak() const;

 private:
  struct step {
    time_point begins;
    service_load highest;
  };

  std::deque<step> steps_;
  /** Over the last two seconds: shorter peaks are counts of a moment. */
  service_load recent_;
  service_load mean_;
  /** How much of the averaging time has passed, 0 to 1. */
  double covered_ = 0;
  bool saw_load_ = false;
  time_point first_load_at_;
  time_point observed_at_;
};

}  // namespace hawthorndrum
