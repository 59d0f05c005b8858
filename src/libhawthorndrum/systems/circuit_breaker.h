/// A circuit breaker: stops calls to a store that keeps failing and tries it again now and then.
#pragma once

#include <cstdint>

#include "base/units.h"

namespace hawthorndrum {

class random_source;

enum class breaker_state { kClosed, kOpen, kHalfOpen };

struct breaker_limits {
  /** Failures in a row that open it. */
  std::uint32_t failures_to_open = 5;
  duration first_open = milliseconds(500);
  duration longest_open = seconds(15);
};

/**
 * Closed lets calls pass. Open lets none pass until its time is over. Half-open lets one probe
 * pass; the probe's outcome closes or opens it again, for twice as long as before.
 *
 * Invariant: probing_ is set only in kHalfOpen.
 */
class circuit_breaker {
 public:
  circuit_breaker(breaker_limits limits, random_source& random)
      : limits_(limits), random_(random) {}

  /** Moves from open to half-open when the time has come, and returns the state. */
  breaker_state StateAt(time_point now);
  /** Whether a call may be sent now; in half-open the call counts as the probe. */
  bool Admit(time_point now);
  void Succeeded();
  void Failed(time_point now);
  /** Whether the half-open breaker's one probe is out. */
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
