/// A row of the table of this daemon's own attempts at claims.
#pragma once

#include <string>

#include "systems/claim_gate.h"
#include "tables/claim_record.h"

namespace hawthorndrum {

/**
 * kClaiming: its record is being written. kWaiting: another attempt holds the key. kLooking: the
 * plain service is asked. kDecided: the decision is to be given out. kGranted: the request may run.
 * kSettling: its last word is being written.
 */
enum class claim_phase { kClaiming, kWaiting, kLooking, kDecided, kGranted, kSettling };

/**
 * Invariant: a row that was granted stays until its last word is in the store. So an attempt of
 * this daemon that has no row never runs from now on, or its last word is in the store.
 */
struct claim_attempt {
  attempt_id id;
  claim_wish wish;
  claim_listener* listener = nullptr;
  claim_phase phase = claim_phase::kClaiming;
  /** Set while kDecided. */
  claim_decision decision;
  /** Whether a record of it may be in the store, or may yet land there. */
  bool may_be_written = false;

  /** When it ends without an answer from the store. */
  time_point give_up_at;
  /** The daemon that the change was forwarded to, and when it is tried directly. */
  peer_id forwarded_to;
  time_point direct_at;

  /** What the bucket's owner last saw there, when it could not ask the store. */
  claim_record known;
  /** The other attempt's record, for kWaiting and kLooking. */
  claim_record other;
  /** Whether the other attempt is known to have ended, so that lookup's "not run" may count. */
  bool other_ended = false;
  time_point next_question;
  time_point next_poll;
  time_point next_lookup;
  std::uint32_t questions = 0;
  /** An attempt that is known to never run; the claim may take its place. */
  attempt_id replaces;
  bool replaces_unknown = false;

  /** For kSettling. */
  claim_state last_word = claim_state::kNotRun;
  http_answer answer;
};

}  // namespace hawthorndrum
