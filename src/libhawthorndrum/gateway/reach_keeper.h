/// Finds out which upstreams cannot be reached, and when they can be again.
///
/// Answers crashes of many engines and cuts between data centres: without it every daemon sends
/// requests to each lost engine again and again, and each of them loses its time or its tries.
#pragma once

#include <set>

#include "base/ids.h"
#include "base/units.h"

namespace hawthorndrum {

class event_log;
class fleet_table;
class random_source;
class upstream_calls;
struct fleet_upstream;

/**
 * An upstream to which no connection could be made is lost: it gets no request until a connection
 * without one, a probe, succeeds. Another daemon's word that it is lost starts a probe as well, so
 * that the first request there need not fail; the word alone proves nothing.
 *
 * Invariant: `watched_` holds the upstreams that are lost or whose probe is due or open, those that
 * left the fleet meanwhile included.
 */
class reach_keeper {
 public:
  reach_keeper(fleet_table& fleet, upstream_calls& calls, random_source& random, event_log& log);

  /** A request found no connection. */
  void OnNotConnected(fleet_upstream& row, time_point now);
  /** Another daemon cannot reach the upstream. */
  void OnWordOfLoss(fleet_upstream& row, time_point now);
  /** The upstream answered something, or took a connection. */
  void OnAnswer(fleet_upstream& row, time_point now);
  void OnProbeEnded(upstream_id upstream, bool connected, time_point now);
  /** Starts the probes that are due. */
  void Run(time_point now);

 private:
  void Lose(fleet_upstream& row, time_point now);

  fleet_table& fleet_;
  upstream_calls& calls_;
  random_source& random_;
  event_log& log_;
  std::set<upstream_id> watched_;
};

}  // namespace hawthorndrum
