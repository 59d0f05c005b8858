/// Runs suspects one at a time in the data centre, each alone at its upstream.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

#include "base/ids.h"
#include "base/units.h"
#include "systems/request_ports.h"
#include "systems/system.h"
#include "systems/turn_keeper.h"
#include "systems/turn_message.h"
#include "tables/request_row.h"

namespace hawthorndrum {

class poison_system;
struct upstream;

/**
 * Asks the data centre's keeper (by rendezvous hash) for the turn, reserves an upstream at every
 * daemon of the data centre, and says that the suspect may go once none of them has anything in
 * flight there, or another copy of the suspect in flight anywhere.
 *
 * Invariant: wish_ names the one suspect that this daemon wants to run or runs.
 */
class suspect_turn : public system {
 public:
  suspect_turn(const request_ports& ports, const request_table& requests, poison_system& poison);

  /** Asks again each tick for a queued suspect; returns its upstream once it is alone there. */
  std::optional<upstream_id> Advance(const request_row& request, time_point now);
  /** The suspect was sent. */
  void Sent(std::uint64_t fingerprint);
  /** The suspect's run, or its wish, is over. */
  void Release(std::uint64_t fingerprint, time_point now);
  /** The suspect that holds the wish, or 0. */
  std::uint64_t wished() const { return wish_.fingerprint; }

  void Hear(peer_id from, const turn_message& message, time_point now);
  void Run(time_point now) override;

 private:
  struct wish {
    std::uint64_t fingerprint = 0;
    time_point wanted;
    time_point asked;
    time_point granted;
    bool has_grant = false;
    bool running = false;
    upstream_id upstream;
    std::set<peer_id> empty_at;
  };
  struct reservation {
    peer_id holder;
    time_point until;
  };

  peer_id Self() const;
  peer_id Keeper() const;
  bool HasNeighbours() const;
  void Ask(time_point now);
  void TakeGrants(time_point now);
  void Granted(std::uint64_t fingerprint, time_point now);
  upstream_id Pick(const request_row& request, time_point now) const;
  void Reserve(upstream_id id);
  void Unreserve(upstream_id id);
  bool IsEmpty() const;
  bool RunsHere(std::uint64_t fingerprint) const;
  void Tell(peer_id to, const turn_message& message);
  void TellAll(const turn_message& message);
  void HearReserve(peer_id from, const turn_message& message, time_point now);

  request_ports ports_;
  const request_table& requests_;
  poison_system& poison_;
  turn_keeper keeper_;
  wish wish_;
  /** Upstreams that other daemons have reserved. */
  std::unordered_map<upstream_id, reservation> others_;
};

}  // namespace hawthorndrum
