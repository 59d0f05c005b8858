/// Finds out which upstreams cannot be reached, and when they can be reached again.
///
/// Needed when many engines crash at once or a data centre is cut off: without it every daemon
/// keeps sending requests to the lost engines, and each of these requests loses time or uses up
/// attempts.
#pragma once

#include <cstddef>
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
 * An upstream is lost when a connection to it fails. It gets no requests until a probe, which is a
 * connection without a request, succeeds or an earlier request is answered. Another daemon's report
 * that an upstream is lost only starts a probe, so that a loss is found before a request fails.
 *
 * Invariant: `monitored_` contains the upstreams that are lost or whose probe is due or open,
 * including those that have left the fleet since; `open_probes_` of their probes are open.
 */
class reachability_monitor {
 public:
  reachability_monitor(fleet_table& fleet, upstream_calls& calls, random_source& random,
                       event_log& log);

  /** A request could not connect to the upstream. */
  void OnNotConnected(fleet_upstream& row, time_point now);
  /** Another daemon cannot connect to the upstream, or a call to it lost its connection. */
  void OnLossReported(fleet_upstream& row, time_point now);
  /** The upstream answered a request or accepted a connection. */
  void OnAnswer(fleet_upstream& row, time_point now);
  void OnProbeEnded(upstream_id upstream, bool connected, time_point now);
  /** A probe was not tried for a lack of this host's own resources. */
  void OnProbeNotTried(upstream_id upstream, time_point now);
  /** Probes the upstream at that time, or before. */
  void ProbeAt(fleet_upstream& row, time_point when);
  /** Probes it at once, unless too many probes are open. */
  void ProbeNow(fleet_upstream& row, time_point now);
  /** Starts the probes that are due. */
  void Run(time_point now);

 private:
  void StartProbe(fleet_upstream& row);
  void MarkLost(fleet_upstream& row, time_point now);
  /** Has the upstream probed again after the backoff, half of which is random. */
  void ProbeAfter(fleet_upstream& row, duration backoff, time_point now);

  fleet_table& fleet_;
  upstream_calls& calls_;
  random_source& random_;
  event_log& log_;
  std::set<upstream_id> monitored_;
  std::size_t open_probes_ = 0;
  /** Probes are started in the order of ids, from the one after this. */
  upstream_id last_probed_;
};

}  // namespace hawthorndrum
