/// Decides when an upstream is not read because its caller reads slowly, and when a daemon holds
/// too much to take another request.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "base/ids.h"
#include "flow/flow_limits.h"

namespace hawthorndrum {

/**
 * Short answers are read out at once, since an upstream cuts off an answer that stays unread; long
 * ones are read at their caller's pace.
 *
 * Invariant: held_ is the sum of what requests_ holds.
 */
class flow_control {
 public:
  explicit flow_control(const flow_limits& limits) : limits_(limits) {}

  /** Sets what is held of a request: its body, and what is buffered of its answer. */
  void SetHeld(request_id request, std::size_t bytes);
  void Forget(request_id request) { SetHeld(request, 0); }
  /** Returns whether a request with a body of this size may be taken. */
  bool MayTake(std::size_t body_bytes) const;
  /** Returns whether the upstream is to be paused, given the answer's unsent bytes. */
  bool IsPaused(bool paused_before, std::size_t unsent_bytes) const;

  std::size_t held() const { return held_; }

 private:
  flow_limits limits_;
  std::unordered_map<request_id, std::size_t> requests_;
  std::size_t held_ = 0;
};

}  // namespace hawthorndrum
