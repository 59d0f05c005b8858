/// Which requests want to be looked at when.
#pragma once

#include <optional>
#include <queue>
#include <vector>

#include "base/ids.h"
#include "base/units.h"

namespace hawthorndrum {

/**
 * Gives out the ids whose time has come. A request may have several times; one that no longer
 * matters is ignored by whoever takes it.
 */
class timer_queue {
 public:
  void Add(time_point when, request_id request) { timers_.push({when, request}); }

  /** Takes the earliest id that is due, if any. */
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
