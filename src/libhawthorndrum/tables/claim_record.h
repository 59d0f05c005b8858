/// A stored claim.
#pragma once

#include <cstdint>
#include <string>

#include "base/http_message.h"
#include "base/ids.h"

namespace hawthorndrum {

/**
 * kClaimed: the attempt may run, or may have run. kDone: it ran, and the answer is kept. kNotRun:
 * it did not run and will not; the key is free. kUnknown: it may have run and will not run again.
 */
enum class claim_state { kClaimed, kDone, kNotRun, kUnknown };

std::string_view ToText(claim_state state);

/** The key that a claim is for; keys of different services are independent. */
struct claim_name {
  std::string service;
  std::string key;

  friend bool operator==(const claim_name& a, const claim_name& b) {
    return a.service == b.service && a.key == b.key;
  }
  friend bool operator<(const claim_name& a, const claim_name& b) {
    return a.service != b.service ? a.service < b.service : a.key < b.key;
  }
};

/**
 * A claim as the store holds it.
 *
 * Invariant: an attempt's record leaves kClaimed only through its claimant, through a peer that the
 * claimant has informed that the attempt will never run, or through lookup or an operator.
 */
struct claim_record {
  claim_name name;
  /** Unique in the fleet; a retry has another id. */
  attempt_id attempt;
  std::uint64_t digest = 0;
  /** The daemon that may run it. */
  peer_id claimant;
  incarnation_id incarnation;
  claim_state state = claim_state::kClaimed;
  /** The bucket's epoch when the record left kClaimed. */
  std::uint64_t settled_epoch = 0;
  /** For kDone; its status is 0 when the answer was too large to keep. */
  http_answer answer;
};

}  // namespace hawthorndrum
