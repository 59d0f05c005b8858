/// A row of the peer table: another daemon, or an address where one may be.
#pragma once

#include <cstdint>

#include "base/units.h"
#include "tables/daemon_identity.h"

namespace hawthorndrum {

/**
 * kCandidate: an address that has not yet proven to be a daemon. kSuspect: was alive, and neither
 * this daemon nor one that it asked has heard of it lately. kDead: suspect for long.
 */
enum class peer_state { kCandidate, kAlive, kSuspect, kDead };

/**
 * One peer. Written by membership alone.
 *
 * Invariant: `identity.incarnation` is none exactly while the row was never alive.
 */
struct peer {
  peer_id id;
  daemon_identity identity;
  peer_state state = peer_state::kCandidate;
  /** Named in the settings; always dialled. */
  bool seed = false;
  /** On the platform's host list; always dialled. */
  bool listed = false;
  /** When its last frame came. */
  time_point heard;
  /** When another daemon had last heard of it, as far as it said so. */
  time_point vouched;
  time_point last_probe;
  time_point linked_at;
  time_point unlinked_at;
  time_point state_since;
  /** Tries to open a link since the last one that was up. */
  std::uint32_t dials = 0;
  time_point next_dial;
  /** Dialled in vain until then; other relays are preferred. */
  time_point unreachable_until;
  /** When a relay link to it was last wanted; for daemons of other data centres. */
  time_point last_chosen;
  time_point members_sent;
  /** Since when its view of the data centre has differed from ours; zero while the same. */
  time_point views_differ_since;
};

}  // namespace hawthorndrum
