/// Which daemons are alive: heartbeats, suspicion, indirect probes, dialling.
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
 * Keeps links to all daemons of the own data centre, and to chosen ones of the others. Only a
 * daemon's own proof over a link makes it alive; seeds, the host list and what peers tell are
 * hints where to dial. A suspect leaves the router's Peers(), a frame of it or another's fresh
 * word of it brings it back.
 */
class membership_system : public system, public peer_link_observer, public peer_listener {
 public:
  membership_system(const membership_settings& settings, peer_router& router, const clock& time,
                    random_source& random, metrics_registry& metrics);

  /** The platform's host list; entries of other kinds are passed over. */
  void OnHostList(boost::span<const host_entry> hosts);

  bool OnPeerHello(const daemon_identity& peer) override;
  void OnPeerLinked(const daemon_identity& peer) override;
  void OnPeerHeard(peer_id peer) override;
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
  void NoticeOwnPause(time_point now);
  void Judge(peer& row, time_point now);
  void ProbeIndirectly(peer& row, time_point now);
  void SendHeartbeats(time_point now);
  void DialOwnDataCentre(time_point now);
  void DialRelays(time_point now);
  void Dial(peer& row, time_point now);
  void CompareViews(peer& row, std::uint64_t other_hash);
  void SendMembers(peer& row);
  void TakeMembers(const peer& from, const members_message& message);
  void TakeProbeRequest(peer_id from, const probe_request& request);
  void TakeProbeAnswer(const probe_answer& answer);
  std::uint64_t ViewHash() const;
  void Publish();
  void ForgetOld(time_point now);

  peer_router& router_;
  const clock& clock_;
  random_source& random_;
  counters counters_;
  peer_table peers_;
  /** Incarnations that were followed by another at their address; they never come back. */
  std::deque<incarnation_id> retired_;
  time_point last_run_;
  time_point next_heartbeat_;
  /** The hash that the last heartbeat said, and until when heartbeats go out every second. */
  std::uint64_t said_hash_ = 0;
  time_point unsettled_until_;
  time_point next_relay_choice_;
  time_point next_members_;
  /** Tokens of a bucket that bounds how many links are opened a second. */
  double dial_tokens_;
  bool changed_ = true;
};

}  // namespace hawthorndrum
