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
  /** How long the change may wait for its commit; a duration, as two daemons' clocks can't be
   *  compared. */
  duration max_wait = milliseconds(0);
};

/** The result of a forwarded change. */
struct claim_forward_result {
  claim_result result;
};

/** Asks the claimant for the state of its attempt. */
struct claim_query {
  /** The attempt that sends the query. */
  attempt_id requester;
  attempt_id attempt;
  incarnation_id incarnation;
};

/**
 * kRunning: the attempt may be running, or may still be granted. kNeverRuns: it will not run from
 * now on: it was not granted and never will be, or it is settled in the store. kClaimantGone: the
 * claimant's incarnation has ended.
 */
enum class attempt_progress { kRunning, kDone, kUnknown, kNeverRuns, kClaimantGone };

struct claim_query_answer {
  attempt_id requester;
  attempt_id attempt;
  attempt_progress progress = attempt_progress::kRunning;
  http_answer answer;
};

peer_message Encode(const claim_forward& message);
peer_message Encode(const claim_forward_result& message);
peer_message Encode(const claim_query& message);
peer_message Encode(const claim_query_answer& message);

expected<claim_forward> DecodeForward(const peer_message& message);
expected<claim_query> DecodeQuery(const peer_message& message);
/** A kClaimReply carries a query answer or a forward result. */
bool IsQueryAnswer(const peer_message& message);
expected<claim_forward_result> DecodeForwardResult(const peer_message& message);
expected<claim_query_answer> DecodeQueryAnswer(const peer_message& message);

}  // namespace hawthorndrum
