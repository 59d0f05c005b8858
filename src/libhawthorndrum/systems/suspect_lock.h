/// Runs suspects one at a time in the data centre, each alone at its upstream.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

#include "base/ids.h"
#include "base/units.h"
#include "systems/request_ports.h"
#include "systems/suspect_lock_coordinator.h"
#include "systems/suspect_lock_message.h"
#include "systems/system.h"
#include "tables/request_row.h"

namespace hawthorndrum {

class poison_system;
struct upstream;

/**
 * Requests the lock from the data centre's coordinator, which rendezvous hashing selects, and
 * reserves an upstream at every daemon of the data centre. The suspect may start once no daemon has
 * anything in flight at that upstream, or another copy of the suspect in flight anywhere.
 *
 * Invariant: run_ names the one suspect that this daemon wants to run or runs.
 */
class suspect_lock : public system {
 public:
  suspect_lock(const request_ports& ports, const request_table& requests, poison_system& poison);

  /** Called each tick for a queued suspect. Returns its upstream once it can run alone there. */
  std::optional<upstream_id> Advance(const request_row& request, time_point now);
  /** Records that the suspect was sent. */
  void Sent(std::uint64_t fingerprint);
  /** Ends the suspect's run or its request for the lock, and releases the lock. */
  void Release(std::uint64_t fingerprint, time_point now);
  /** Returns the fingerprint of the suspect that this daemon wants to run or runs, or 0. */
  std::uint64_t active_fingerprint() const { return run_.fingerprint; }

  void OnMessage(peer_id from, const suspect_lock_message& message, time_point now);
  void Run(time_point now) override;

 private:
  struct suspect_run {
    std::uint64_t fingerprint = 0;
    time_point last_wanted;
    time_point requested_at;
    time_point granted_at;
    bool has_grant = false;
    bool running = false;
    upstream_id upstream;
    std::set<peer_id> idle_peers;
  };
  struct reservation {
    peer_id holder;
    time_point until;
  };

  peer_id Self() const;
  peer_id Coordinator() const;
  bool HasPeersHere() const;
  void RequestLock(time_point now);
  void ProcessGrant(time_point now);
  void OnGranted(std::uint64_t fingerprint, time_point now);
  upstream_id Pick(const request_row& request, time_point now) const;
  void Reserve(upstream_id id);
  void Unreserve(upstream_id id);
  bool IsIdleEverywhere() const;
  bool HasCopyInFlight(std::uint64_t fingerprint) const;
  void SendTo(peer_id to, const suspect_lock_message& message);
  void SendToDataCentre(const suspect_lock_message& message);
  void OnReserve(peer_id from, const suspect_lock_message& message, time_point now);

  request_ports ports_;
  const request_table& requests_;
  poison_system& poison_;
  suspect_lock_coordinator coordinator_;
  suspect_run run_;
  /** Reservations of other daemons. */
  std::unordered_map<upstream_id, reservation> peer_reservations_;
};

}  // namespace hawthorndrum
