/// Messages between daemons about claims.
#pragma once

#include "base/error.h"
#include "ports/peer_message.h"
#include "systems/claim_change.h"

namespace hawthorndrum {

/** Asks the daemon that owns the bucket to commit a change for the sender. */
struct claim_forward {
  std::uint32_t buckets = 0;
  claim_change change;
  /** How long the sender waits; times of two daemons can't be compared. */
  duration patience = milliseconds(0);
};

/** What became of a forwarded change. */
struct claim_forward_result {
  claim_result result;
};

/** Asks the maker of a claim what has become of it. */
struct claim_query {
  /** The attempt that asks. */
  attempt_id asker;
  attempt_id attempt;
  incarnation_id incarnation;
};

/**
 * kRunning: it may run, or may yet. kNeverRuns: it was not granted and never will be, or is settled
 * in the store. kGone: the daemon that made it is no more.
 */
enum class claim_fate { kRunning, kDone, kUnknown, kNeverRuns, kGone };

struct claim_query_answer {
  attempt_id asker;
  attempt_id attempt;
  claim_fate fate = claim_fate::kRunning;
  http_answer answer;
};

peer_message Encode(const claim_forward& message);
peer_message Encode(const claim_forward_result& message);
peer_message Encode(const claim_query& message);
peer_message Encode(const claim_query_answer& message);

expected<claim_forward> DecodeForward(const peer_message& message);
expected<claim_query> DecodeQuery(const peer_message& message);
/** A kClaimReply carries one of the two. */
bool IsQueryAnswer(const peer_message& message);
expected<claim_forward_result> DecodeForwardResult(const peer_message& message);
expected<claim_query_answer> DecodeQueryAnswer(const peer_message& message);

}  // namespace hawthorndrum
