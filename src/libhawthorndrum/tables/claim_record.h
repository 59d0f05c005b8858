/// One stored claim.
#pragma once

#include <cstdint>
#include <string>

#include "base/http_message.h"
#include "base/ids.h"

namespace hawthorndrum {

/**
 * kClaimed: its attempt may run, or have run. kDone: it ran, and the answer is kept. kNotRun: it
 * did not and will not run; the key is free. kUnknown: it may have run and will not run again.
 */
enum class claim_state { kClaimed, kDone, kNotRun, kUnknown };

std::string_view ToText(claim_state state);

/** What a claim is for: keys of two services have nothing to do with each other. */
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
 * Invariant: an attempt's record leaves kClaimed only by its maker's word, by a peer that the maker
 * told that the attempt will never run, or by lookup or an operator.
 */
struct claim_record {
  claim_name name;
  /** Unique in the fleet; a new try has another one. */
  attempt_id attempt;
  std::uint64_t digest = 0;
  /** The daemon that may run it. */
  peer_id maker;
  incarnation_id incarnation;
  claim_state state = claim_state::kClaimed;
  /** The bucket's epoch when the record left kClaimed. */
  std::uint64_t settled_epoch = 0;
  /** For kDone; status 0 when the answer was too large to keep. */
  http_answer answer;
};

}  // namespace hawthorndrum
