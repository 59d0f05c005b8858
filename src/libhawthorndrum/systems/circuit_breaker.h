/// A circuit breaker: stops calls to a store that keeps failing, and probes it after a delay.
#pragma once

#include <cstdint>

#include "base/units.h"

namespace hawthorndrum {

class random_source;

enum class breaker_state { kClosed, kOpen, kHalfOpen };

struct breaker_limits {
  /** Consecutive failures that open the breaker. */
  std::uint32_t failures_to_open = 5;
  duration first_open = milliseconds(500);
  duration longest_open = seconds(15);
};

/**
 * When closed, admits all calls. When open, admits none until the open time has passed. Then,
 * half-open, admits one probe, whose outcome closes the breaker or opens it again, for about twice
 * as long as before and at most longest_open.
 *
 * Invariant: probing_ is set only in kHalfOpen.
 */
class circuit_breaker {
 public:
  circuit_breaker(breaker_limits limits, random_source& random)
      : limits_(limits), random_(random) {}

  /** Moves from open to half-open when the open time has passed; returns the state. */
  breaker_state StateAt(time_point now);
  /** Returns whether a call may be sent now; when half-open, that call is the probe. */
  bool Admit(time_point now);
  void Succeeded();
  void Failed(time_point now);
  /** Returns whether the half-open breaker's probe is in flight. */
  bool probing() const { return probing_; }
  breaker_state state() const { return state_; }

 private:
  void Open(time_point now);

  breaker_limits limits_;
  random_source& random_;
  breaker_state state_ = breaker_state::kClosed;
  std::uint32_t failures_ = 0;
  std::uint32_t times_opened_ = 0;
  bool probing_ = false;
  time_point open_until_;
};

}  // namespace hawthorndrum
