/// A queue of scheduled actions in fake time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "base/units.h"

namespace hawthorndrum {

/** Runs actions in the order of their times; those of equal time in the order of insertion. */
class event_queue {
 public:
  void At(time_point when, std::function<void()> action) {
    events_.emplace(std::make_pair(std::max(when, now_), ++last_), std::move(action));
  }
  void After(duration wait, std::function<void()> action) { At(now_ + wait, std::move(action)); }

  void RunUntil(time_point end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
      now_ = events_.begin()->first.first;
      const std::function<void()> action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
    now_ = end;
  }

  time_point now() const { return now_; }

 private:
  std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> events_;
  time_point now_{seconds(1000)};
  std::uint64_t last_ = 0;
};

}  // namespace hawthorndrum
