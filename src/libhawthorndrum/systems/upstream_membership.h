/// Maintains which upstreams exist, and which of them are leaving.
#pragma once

#include <boost/core/span.hpp>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/error.h"
#include "base/metrics_registry.h"
#include "ports/clock.h"
#include "ports/host_entry.h"
#include "ports/peer_port.h"
#include "systems/leaving_messages.h"
#include "systems/system.h"
#include "tables/upstream_table.h"

namespace hawthorndrum {

/**
 * Applies the platform's host list and operators' drains to the upstream table, and reports the
 * upstreams that it has seen leaving to the data centre's other daemons at once, so that new work
 * stops everywhere as soon as one source reports it. The list is only a hint: when more than half
 * of the upstreams are missing from it at once, they count as leaving only after
 * kLossAcceptedAfter. Without a list the last view is kept.
 *
 * Invariant: a row is erased only when it has no request of this daemon in flight and has been off
 * the list for kEraseAfter.
 */
class upstream_membership : public system, public peer_listener {
 public:
  /** An upstream that is not on the list is kept as leaving for at least this long. */
  static constexpr duration kEraseAfter = seconds(60);
  /**
   * How long more than half of the upstreams must be missing from the list at once before they
   * count as leaving.
   */
  static constexpr duration kLossAcceptedAfter = seconds(30);

  upstream_membership(std::string data_centre, upstream_table& upstreams, peer_port& peers,
                      const clock& time, metrics_registry& metrics);

  /** Applies the platform's host list; daemons and other data centres' hosts are ignored. */
  void OnHostList(boost::span<const host_entry> hosts);
  void OnPeerMessage(peer_id from, const peer_message& message) override;

  /** Starts or ends an operator's drain; it is sent to all daemons of the data centre. */
  expected<void> Drain(std::string_view address, bool drain);

  void Run(time_point now) override;

  const upstream_table& upstreams() const { return upstreams_; }
  std::size_t MemoryBytes() const;

 private:
  struct peer_report {
    std::set<upstream_id> seen;
    time_point last_alive;
  };

  bool LosesTooMany(const std::set<upstream_id>& listed, time_point now);
  void Apply(const host_entry& host);
  void UpdateLeaving();
  void SendMessages(time_point now);
  leaving_message OwnMessage() const;
  void ExpireGonePeers(time_point now);
  void EraseUnlisted(time_point now);

  std::string data_centre_;
  upstream_table& upstreams_;
  peer_port& peers_;
  const clock& clock_;
  counter& held_back_lists_;
  counter& rows_;
  counter& leaving_rows_;
  counter& malformed_;
  std::unordered_map<upstream_id, operator_drain> drain_requests_;
  std::unordered_map<peer_id, peer_report> peer_reports_;
  /** Since when an upstream has been missing from the list. */
  std::unordered_map<upstream_id, time_point> unlisted_since_;
  /** The incarnation of each linked peer that was sent this daemon's message, if any was due. */
  std::unordered_map<peer_id, incarnation_id> sent_to_;
  std::vector<upstream_id> last_seen_;
  time_point loss_since_;
  time_point next_run_;
  time_point next_repeat_;
  time_point last_change_;
  bool drain_requests_changed_ = false;
};

}  // namespace hawthorndrum
