/// Messages between daemons: forwarded changes, and queries about another daemon's attempt.
#include <algorithm>

#include "base/metrics_registry.h"
#include "ports/clock.h"
#include "systems/backoff.h"
#include "systems/claim_system.h"

namespace hawthorndrum {

bool claim_system::IsPeer(peer_id id) const {
  const auto& peers = ports_.peers.Peers();
  return std::any_of(peers.begin(), peers.end(),
                     [&](const live_peer& peer) { return peer.id == id; });
}

bool claim_system::IsPeer(peer_id id, incarnation_id incarnation) const {
  const auto& peers = ports_.peers.Peers();
  return std::any_of(peers.begin(), peers.end(), [&](const live_peer& peer) {
    return peer.id == id && peer.incarnation == incarnation;
  });
}

void claim_system::QueryClaimant(claim_attempt& attempt, time_point now) {
  attempt.next_query = now + ExponentialDelay(attempt.queries_sent, options_.first_query_interval,
                                              options_.longest_query_interval);
  attempt.queries_sent += 1;
  const claim_query query{attempt.id, attempt.other.attempt, attempt.other.incarnation};
  const peer_id claimant = attempt.other.claimant;
  if (claimant == ports_.peers.self()) {
    HandleProgress(ProgressOf(query), claimant);
    return;
  }
  ports_.metrics.Counter("claim_questions").Add();
  ports_.peers.Send(claimant, Encode(query));
  const bool can_look_up = ports_.lookup != nullptr && !attempt.claim.lookup_path.empty();
  if (!IsPeer(claimant) && can_look_up && now >= attempt.next_lookup) LookUp(attempt, false, now);
}

claim_query_answer claim_system::ProgressOf(const claim_query& query) const {
  claim_query_answer answer;
  answer.requester = query.requester;
  answer.attempt = query.attempt;
  if (query.incarnation != incarnation_) {
    answer.progress = attempt_progress::kClaimantGone;
    return answer;
  }
  const claim_attempt* attempt = attempts_.Find(query.attempt);
  if (attempt == nullptr) {
    answer.progress = attempt_progress::kNeverRuns;
    return answer;
  }
  if (attempt->phase != claim_phase::kSettling) return answer;
  switch (attempt->final_state) {
    case claim_state::kDone:
      answer.progress = attempt_progress::kDone;
      answer.answer = attempt->answer;
      return answer;
    case claim_state::kNotRun:
      answer.progress = attempt_progress::kNeverRuns;
      return answer;
    case claim_state::kClaimed:
    case claim_state::kUnknown:
      answer.progress = attempt_progress::kUnknown;
      return answer;
  }
  return answer;
}

void claim_system::HandleProgress(const claim_query_answer& answer, peer_id from) {
  claim_attempt* attempt = attempts_.Find(answer.requester);
  if (attempt == nullptr || attempt->phase != claim_phase::kWaiting) return;
  if (attempt->other.attempt != answer.attempt || attempt->other.claimant != from) return;
  const time_point now = ports_.time.Now();
  switch (answer.progress) {
    case attempt_progress::kRunning:
      return;
    case attempt_progress::kDone:
      Decide(*attempt, claim_verdict::kAnswered, "", answer.answer);
      return;
    case attempt_progress::kNeverRuns:
      attempt->replaces = answer.attempt;
      SendClaim(*attempt, now);
      return;
    case attempt_progress::kUnknown:
    case attempt_progress::kClaimantGone:
      LookUp(*attempt, true, now);
      return;
  }
}

void claim_system::OnPeerMessage(peer_id from, const peer_message& message) {
  switch (message.topic) {
    case peer_topic::kClaimForward:
      HandleForward(from, message);
      return;
    case peer_topic::kClaimQuery: {
      const expected<claim_query> query = DecodeQuery(message);
      if (!query) {
        ports_.metrics.Counter("claim_messages_malformed").Add();
        return;
      }
      ports_.peers.Send(from, Encode(ProgressOf(*query)));
      return;
    }
    case peer_topic::kClaimReply:
      HandleReply(from, message);
      return;
    default:
      return;
  }
}

void claim_system::HandleForward(peer_id from, const peer_message& message) {
  expected<claim_forward> forward = DecodeForward(message);
  const bool forwardable = forward && (forward->change.kind == claim_change_kind::kClaim ||
                                       forward->change.kind == claim_change_kind::kSettle);
  // A daemon may forward changes only for its own attempts.
  if (!forwardable || forward->change.record.claimant != from) {
    ports_.metrics.Counter("claim_messages_malformed").Add();
    return;
  }
  const claim_record& record = forward->change.record;
  const bool fits = record.name.service.size() + record.name.key.size() <= options_.largest_key;
  const bool same_layout = committer_.ready() && forward->buckets == committer_.buckets();
  // No reply is sent: after its timeout the sender writes the change directly.
  if (!fits || !same_layout || forwarded_in_ >= options_.max_forwarded) {
    ports_.metrics.Counter("claims_forwards_dropped").Add();
    return;
  }
  forwarded_in_ += 1;
  forward->change.origin = from;
  const time_point now = ports_.time.Now();
  committer_.Submit(std::move(forward->change), now + forward->max_wait, now);
}

void claim_system::HandleReply(peer_id from, const peer_message& message) {
  if (IsQueryAnswer(message)) {
    const expected<claim_query_answer> answer = DecodeQueryAnswer(message);
    if (!answer) {
      ports_.metrics.Counter("claim_messages_malformed").Add();
      return;
    }
    HandleProgress(*answer, from);
    return;
  }
  const expected<claim_forward_result> reply = DecodeForwardResult(message);
  if (!reply) {
    ports_.metrics.Counter("claim_messages_malformed").Add();
    return;
  }
  HandleResult(reply->result);
}

}  // namespace hawthorndrum
