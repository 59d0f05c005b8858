/// A queue of requests ordered by due time.
#pragma once

#include <optional>
#include <queue>
#include <vector>

#include "base/ids.h"
#include "base/units.h"

namespace hawthorndrum {

/**
 * Returns the requests whose timers are due. A request may have several timers; the caller ignores
 * those that no longer apply.
 */
class timer_queue {
 public:
  void Add(time_point when, request_id request) { timers_.push({when, request}); }

  /** Removes and returns the earliest request that is due, if any. */
  std::optional<request_id> TakeDue(time_point now) {
    if (timers_.empty() || timers_.top().when > now) return std::nullopt;
    const request_id request = timers_.top().request;
    timers_.pop();
    return request;
  }

 private:
  struct timer {
    time_point when;
    request_id request;
    friend bool operator<(const timer& a, const timer& b) { return a.when > b.when; }
  };

  std::priority_queue<timer> timers_;
};

}  // namespace hawthorndrum
