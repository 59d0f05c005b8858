/// Heeds what upstreams say about themselves in the heads of their answers.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "base/units.h"
#include "gateway/call_limit.h"
#include "gateway/daemon_directory.h"
#include "gateway/gateway_ports.h"

namespace hawthorndrum {

class fleet_table;
struct exchange;
struct fleet_upstream;
struct load_notice;
struct upstream_statements;

/**
 * Keeps in the rows of the fleet table that an upstream leaves, wants no requests of this daemon
 * for a time, or takes only so many requests a second from all daemons together.
 */
class statement_handler {
 public:
  statement_handler(const gateway_ports& ports, fleet_table& fleet);

  /** Sets the daemons with which this one shares limits; returns whether they are other ones. */
  bool SetDaemons(const std::vector<daemon_record>& others, time_point now);

  /** Remembers what the upstream says about itself in the head of the answer. */
  void Heed(const exchange& each, fleet_upstream& row, time_point now);
  /** Remembers that the upstream takes no new work. */
  void HeedLeaving(fleet_upstream& row, time_point now);
  /** Sets the limit that was said then; no value means that the upstream has none any more. */
  void HearLimit(fleet_upstream& row, std::optional<double> per_second, time_point said_at,
                 std::string_view source, time_point now);
  /** Adds to the notice what the upstream said to this daemon about its limit. */
  void ReportLimits(load_notice& notice, const fleet_upstream& row, time_point now) const;
  /** Delays further calls to an upstream that has accepted none since it asked for time. */
  static void SpaceTrials(fleet_upstream& row, time_point now);
  /** Returns whether other daemons should hear that the upstream asked for time. */
  static bool IsNewsForPeers(const upstream_statements& said, time_point now);

 private:
  void HeedTimeAsked(fleet_upstream& row, duration asked, time_point now);
  void HeedUnreadableTime(fleet_upstream& row, std::string_view value);
  /** Heeds the limit that the answer names, or that it names none any more. */
  void HeedLimit(const exchange& each, fleet_upstream& row, time_point now);
  void LogLimit(const fleet_upstream& row, std::string_view outcome, std::string_view source);
  /** Returns this daemon's place among those that call the upstream, the nearest first. */
  caller_rank RankFor(const fleet_upstream& row) const;

  gateway_ports ports_;
  fleet_table& fleet_;
  std::vector<daemon_record> other_daemons_;
  bool knows_daemons_ = false;
};

}  // namespace hawthorndrum
