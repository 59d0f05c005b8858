/// Which upstreams there are, and which of them are leaving.
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
 * Applies the platform's host list and operators' drains to the upstream table, and tells the
 * data centre's other daemons at once what it has seen leaving, so that new work stops everywhere
 * with the first sign from any source. The list is a hint: a list that lost many upstreams at a
 * stroke is believed only when it stays so; without a list the last view is kept.
 *
 * Invariant: a row is erased only when it has no request of this daemon in flight and has been
 * off the list for kEraseAfter.
 */
class upstream_membership : public system, public peer_listener {
 public:
  /** An upstream off the list is kept as leaving for this long at least. */
  static constexpr duration kEraseAfter = seconds(60);
  /** A list that lost more than half of the upstreams must stay so this long. */
  static constexpr duration kBelieveLossAfter = seconds(30);

  upstream_membership(std::string data_centre, upstream_table& upstreams, peer_port& peers,
                      const clock& time, metrics_registry& metrics);

  /** The platform's host list; daemons and other data centres' hosts are passed over. */
  void OnHostList(boost::span<const host_entry> hosts);
  void OnPeerMessage(peer_id from, const peer_message& message) override;

  /** An operator's drain, or its end; it spreads to all daemons of the data centre. */
  expected<void> Drain(std::string_view address, bool drain);

  void Run(time_point now) override;

  const upstream_table& upstreams() const { return upstreams_; }
  std::size_t MemoryBytes() const;

 private:
  struct peer_signs {
    std::set<upstream_id> seen;
    time_point last_alive;
  };

  bool LosesTooMany(const std::set<upstream_id>& listed, time_point now);
  void Apply(const host_entry& host);
  void ApplySigns();
  void Spread(time_point now);
  leaving_message OwnSigns() const;
  void ForgetGonePeers(time_point now);
  void EraseGone(time_point now);

  std::string data_centre_;
  upstream_table& upstreams_;
  peer_port& peers_;
  const clock& clock_;
  counter& held_back_lists_;
  counter& rows_;
  counter& leaving_rows_;
  counter& malformed_;
  std::unordered_map<upstream_id, drain_wish> wishes_;
  std::unordered_map<peer_id, peer_signs> signs_of_peers_;
  /** Since when an upstream has been off the list. */
  std::unordered_map<upstream_id, time_point> unlisted_since_;
  /** Which incarnation of each linked peer has our signs. */
  std::unordered_map<peer_id, incarnation_id> told_;
  std::vector<upstream_id> last_seen_;
  time_point loss_since_;
  time_point next_run_;
  time_point next_repeat_;
  time_point last_change_;
  bool wishes_changed_ = false;
};

}  // namespace hawthorndrum
