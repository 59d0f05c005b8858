/// The state transitions of the circuit breaker.
#include "systems/circuit_breaker.h"

#include "systems/backoff.h"

namespace hawthorndrum {

breaker_state circuit_breaker::StateAt(time_point now) {
  if (state_ == breaker_state::kOpen && now >= open_until_) {
    state_ = breaker_state::kHalfOpen;
    probing_ = false;
  }
  return state_;
}

bool circuit_breaker::Admit(time_point now) {
  switch (StateAt(now)) {
    case breaker_state::kClosed:
      return true;
    case breaker_state::kOpen:
      return false;
    case breaker_state::kHalfOpen:
      if (probing_) return false;
      probing_ = true;
      return true;
  }
  return false;
}

void circuit_breaker::Succeeded() {
  failures_ = 0;
  // An answer to a call from before the breaker opened proves nothing about the store now.
  if (state_ == breaker_state::kOpen) return;
  state_ = breaker_state::kClosed;
  times_opened_ = 0;
  probing_ = false;
}

void circuit_breaker::Failed(time_point now) {
  failures_ += 1;
  if (state_ == breaker_state::kOpen) return;
  if (state_ == breaker_state::kHalfOpen || failures_ >= limits_.failures_to_open) Open(now);
}

void circuit_breaker::Open(time_point now) {
  open_until_ =
      now + JitteredDelay(times_opened_, limits_.first_open, limits_.longest_open, random_);
  state_ = breaker_state::kOpen;
  probing_ = false;
  times_opened_ += 1;
}

}  // namespace hawthorndrum
