/// Tracks which daemons are alive: heartbeats, suspicion, indirect probes and dialling.
#pragma once

#include <boost/core/span.hpp>
#include <deque>
#include <string>
#include <vector>

#include "base/metrics_registry.h"
#include "ports/host_entry.h"
#include "ports/random_source.h"
#include "systems/membership_messages.h"
#include "systems/membership_settings.h"
#include "systems/peer_link_observer.h"
#include "systems/peer_router.h"
#include "systems/system.h"
#include "tables/peer_table.h"

namespace hawthorndrum {

/**
 * Keeps links to all daemons of its own data centre and to chosen relays in the others. A daemon
 * becomes alive only by authenticating over a link; seeds, the host list and member lists from
 * peers only supply addresses to dial. A suspect peer is removed from the router's Peers() until a
 * frame arrives from it or another daemon confirms that it recently received one.
 */
class membership_system : public system, public peer_link_observer, public peer_listener {
 public:
  membership_system(const membership_settings& settings, peer_router& router, const clock& time,
                    random_source& random, metrics_registry& metrics);

  /** Applies the platform's host list; ignores entries that aren't daemons. */
  void OnHostList(boost::span<const host_entry> hosts);

  bool OnPeerHello(const daemon_identity& peer) override;
  void OnPeerLinked(const daemon_identity& peer) override;
  void OnFrameReceived(peer_id peer) override;
  void OnPeerUnlinked(peer_id peer) override;
  void OnDialFailed(std::string_view address) override;
  void OnPeerMessage(peer_id from, const peer_message& message) override;

  void Run(time_point now) override;

  const peer_table& peers() const { return peers_; }
  std::size_t MemoryBytes() const;

 private:
  struct counters {
    explicit counters(metrics_registry& metrics);
    counter& alive;
    counter& known;
    counter& suspicions;
    counter& deaths;
    counter& restarts;
    counter& refused_incarnations;
    counter& probes;
    counter& own_pauses;
    counter& malformed;
  };

  peer& FindOrAdd(std::string_view address);
  bool IsOwnDataCentre(const peer& row) const;
  bool IsRetired(incarnation_id incarnation) const;
  void Retire(incarnation_id incarnation);
  void SetState(peer& row, peer_state state);
  void DetectOwnPause(time_point now);
  void UpdateState(peer& row, time_point now);
  void ProbeIndirectly(peer& row, time_point now);
  void SendHeartbeats(time_point now);
  void DialOwnDataCentre(time_point now);
  void DialRelays(time_point now);
  void Dial(peer& row, time_point now);
  void CompareViews(peer& row, std::uint64_t other_hash);
  void SendMembers(peer& row);
  void HandleMembers(const peer& from, const members_message& message);
  void HandleProbeRequest(peer_id from, const probe_request& request);
  void HandleProbeAnswer(const probe_answer& answer);
  std::uint64_t ViewHash() const;
  void Publish();
  void RemoveExpired(time_point now);

  peer_router& router_;
  const clock& clock_;
  random_source& random_;
  counters counters_;
  peer_table peers_;
  /** Incarnations that were replaced by another at their address; they are refused. */
  std::deque<incarnation_id> retired_;
  time_point last_run_;
  time_point next_heartbeat_;
  /** View hash in the last heartbeat, and the time until which heartbeats are sent every second. */
  std::uint64_t sent_hash_ = 0;
  time_point unsettled_until_;
  time_point next_relay_choice_;
  time_point next_members_;
  /** Token bucket that limits the links opened per second. */
  double dial_tokens_;
  bool changed_ = true;
};

}  // namespace hawthorndrum
