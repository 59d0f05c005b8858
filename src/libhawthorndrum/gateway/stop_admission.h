/// Decides which requests a daemon that is about to stop still takes.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/units.h"

namespace hawthorndrum {

/**
 * A request that would still run when the daemon stops would be cut. It is refused on arrival, so
 * that its caller can turn to another daemon at once.
 *
 * Answers the load of a planned stop: callers go on sending until the load balancer has noticed.
 */
class stop_admission {
 public:
  /** Records how long a request of the route took until its answer was complete. */
  void Record(const std::string& route, duration taken);
  /** The daemon answers what is in flight until then, and nothing afterwards. */
  void BeginStop(time_point ends_at) { ends_at_ = ends_at; }

  /** Returns whether a request that has `time_left` ends before the daemon does. */
  bool MayTake(const std::string& route, duration time_left, time_point now) const;
  bool is_stopping() const { return ends_at_.has_value(); }

 private:
  /** How long answers of a route take lately: the longest one, which decays with each answer. */
  std::map<std::string, duration> longest_;
  std::optional<time_point> ends_at_;
};

}  // namespace hawthorndrum
