/// Claims between daemons: forwarded changes, and questions about another's attempt.
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

void claim_system::AskMaker(claim_attempt& attempt, time_point now) {
  attempt.next_question =
      now + ExponentialDelay(attempt.questions, options_.first_question, options_.longest_question);
  attempt.questions += 1;
  const claim_query query{attempt.id, attempt.other.attempt, attempt.other.incarnation};
  const peer_id maker = attempt.other.maker;
  if (maker == ports_.peers.self()) {
    TakeFate(FateOf(query), maker);
    return;
  }
  ports_.metrics.Counter("claim_questions").Add();
  ports_.peers.Send(maker, Encode(query));
  const bool may_look = ports_.lookup != nullptr && !attempt.wish.lookup_path.empty();
  if (!IsPeer(maker) && may_look && now >= attempt.next_lookup) LookUp(attempt, false, now);
}

claim_query_answer claim_system::FateOf(const claim_query& query) const {
  claim_query_answer answer;
  answer.asker = query.asker;
  answer.attempt = query.attempt;
  if (query.incarnation != incarnation_) {
    answer.fate = claim_fate::kGone;
    return answer;
  }
  const claim_attempt* attempt = attempts_.Find(query.attempt);
  if (attempt == nullptr) {
    answer.fate = claim_fate::kNeverRuns;
    return answer;
  }
  if (attempt->phase != claim_phase::kSettling) return answer;
  switch (attempt->last_word) {
    case claim_state::kDone:
      answer.fate = claim_fate::kDone;
      answer.answer = attempt->answer;
      return answer;
    case claim_state::kNotRun:
      answer.fate = claim_fate::kNeverRuns;
      return answer;
    case claim_state::kClaimed:
    case claim_state::kUnknown:
      answer.fate = claim_fate::kUnknown;
      return answer;
  }
  return answer;
}

void claim_system::TakeFate(const claim_query_answer& answer, peer_id from) {
  claim_attempt* attempt = attempts_.Find(answer.asker);
  if (attempt == nullptr || attempt->phase != claim_phase::kWaiting) return;
  if (attempt->other.attempt != answer.attempt || attempt->other.maker != from) return;
  const time_point now = ports_.time.Now();
  switch (answer.fate) {
    case claim_fate::kRunning:
      return;
    case claim_fate::kDone:
      Decide(*attempt, claim_verdict::kAnswered, "", answer.answer);
      return;
    case claim_fate::kNeverRuns:
      attempt->replaces = answer.attempt;
      SendClaim(*attempt, now);
      return;
    case claim_fate::kUnknown:
    case claim_fate::kGone:
      LookUp(*attempt, true, now);
      return;
  }
}

void claim_system::OnPeerMessage(peer_id from, const peer_message& message) {
  switch (message.topic) {
    case peer_topic::kClaimForward:
      TakeForward(from, message);
      return;
    case peer_topic::kClaimQuery: {
      const expected<claim_query> query = DecodeQuery(message);
      if (!query) {
        ports_.metrics.Counter("claim_messages_malformed").Add();
        return;
      }
      ports_.peers.Send(from, Encode(FateOf(*query)));
      return;
    }
    case peer_topic::kClaimReply:
      TakeReply(from, message);
      return;
    default:
      return;
  }
}

void claim_system::TakeForward(peer_id from, const peer_message& message) {
  expected<claim_forward> forward = DecodeForward(message);
  const bool forwardable = forward && (forward->change.kind == claim_change_kind::kClaim ||
                                       forward->change.kind == claim_change_kind::kSettle);
  // A daemon speaks only for its own attempts.
  if (!forwardable || forward->change.record.maker != from) {
    ports_.metrics.Counter("claim_messages_malformed").Add();
    return;
  }
  const claim_record& record = forward->change.record;
  const bool fits = record.name.service.size() + record.name.key.size() <= options_.largest_key;
  const bool same_layout = committer_.ready() && forward->buckets == committer_.buckets();
  // No answer: the sender writes it directly then.
  if (!fits || !same_layout || forwarded_in_ >= options_.most_forwarded) {
    ports_.metrics.Counter("claims_forwards_dropped").Add();
    return;
  }
  forwarded_in_ += 1;
  forward->change.origin = from;
  const time_point now = ports_.time.Now();
  committer_.Submit(std::move(forward->change), now + forward->patience, now);
}

void claim_system::TakeReply(peer_id from, const peer_message& message) {
  if (IsQueryAnswer(message)) {
    const expected<claim_query_answer> answer = DecodeQueryAnswer(message);
    if (!answer) {
      ports_.metrics.Counter("claim_messages_malformed").Add();
      return;
    }
    TakeFate(*answer, from);
    return;
  }
  const expected<claim_forward_result> reply = DecodeForwardResult(message);
  if (!reply) {
    ports_.metrics.Counter("claim_messages_malformed").Add();
    return;
  }
  TakeResult(reply->result);
}

}  // namespace hawthorndrum
