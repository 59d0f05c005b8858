/// An attempt of this daemon to claim a key: a row of its table of attempts.
#pragma once

#include <string>

#include "systems/claim_gate.h"
#include "tables/claim_record.h"

namespace hawthorndrum {

/**
 * kClaiming: its record is being written. kWaiting: another attempt holds the key. kLooking: the
 * plain service's lookup is in flight. kDecided: the decision is yet to be delivered. kGranted: the
 * request may run. kSettling: its final state is being written.
 */
enum class claim_phase { kClaiming, kWaiting, kLooking, kDecided, kGranted, kSettling };

/**
 * Invariant: the row of a granted attempt stays until its final state is in the store. So an
 * attempt of this daemon that has no row will never run from now on, or its final state is in the
 * store.
 */
struct claim_attempt {
  attempt_id id;
  claim_request claim;
  claim_listener* listener = nullptr;
  claim_phase phase = claim_phase::kClaiming;
  /** Set while kDecided. */
  claim_decision decision;
  /** Whether a record of it may be in the store, or a write in flight may still store one. */
  bool may_be_written = false;

  /** When the claim is abandoned if the store has not answered. */
  time_point give_up_at;
  /** The daemon that the change was forwarded to, and when it is written directly instead. */
  peer_id forwarded_to;
  time_point direct_at;

  /** The record that the bucket's owner last read, when it could not reach the store. */
  claim_record known;
  /** The other attempt's record, for kWaiting and kLooking. */
  claim_record other;
  /** Whether the other attempt is known to have ended; only then may lookup's "not run" count. */
  bool other_ended = false;
  time_point next_query;
  time_point next_poll;
  time_point next_lookup;
  std::uint32_t queries_sent = 0;
  /** An attempt that is known to never run; the claim may replace it. */
  attempt_id replaces;
  bool replaces_unknown = false;

  /** For kSettling. */
  claim_state final_state = claim_state::kNotRun;
  http_answer answer;
};

}  // namespace hawthorndrum
