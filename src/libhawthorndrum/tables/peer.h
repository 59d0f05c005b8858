/// Row of the peer table: another daemon, or an address where one may run.
#pragma once

#include <cstdint>

#include "base/units.h"
#include "tables/daemon_identity.h"

namespace hawthorndrum {

/**
 * kCandidate: no daemon has authenticated at this address yet. kSuspect: was alive, but neither
 * this daemon nor any that it probed has received a frame from it recently. kDead: has been suspect
 * for kDeadAfter.
 */
enum class peer_state { kCandidate, kAlive, kSuspect, kDead };

/**
 * One peer. Only membership writes it.
 *
 * Invariant: `identity.incarnation` is unset if and only if the peer was never alive.
 */
struct peer {
  peer_id id;
  daemon_identity identity;
  peer_state state = peer_state::kCandidate;
  /** Named in the settings; always dialled. */
  bool seed = false;
  /** On the platform's host list; always dialled. */
  bool listed = false;
  /** When the last frame arrived from it. */
  time_point last_received;
  /** When another daemon last received a frame from it, according to probe answers. */
  time_point last_confirmed;
  time_point last_probe;
  time_point linked_at;
  time_point unlinked_at;
  time_point state_since;
  /** Attempts to open a link since the last link was up. */
  std::uint32_t dials = 0;
  time_point next_dial;
  /** Set after a failed dial; until then other relays are preferred. */
  time_point unreachable_until;
  /** When it was last chosen as a relay; for daemons of other data centres. */
  time_point last_chosen;
  time_point members_sent;
  /** Since when its view of the data centre has differed from ours; zero while they agree. */
  time_point views_differ_since;
};

}  // namespace hawthorndrum
