/// The steps of an attempt, from the claim to its final state.
#include "systems/claim_system.h"

#include <algorithm>

#include "base/hash.h"
#include "base/metrics_registry.h"
#include "ports/clock.h"
#include "ports/random_source.h"

namespace hawthorndrum {

namespace {

constexpr std::string_view VerdictName(claim_verdict verdict) {
  switch (verdict) {
    case claim_verdict::kGranted:
      return "granted";
    case claim_verdict::kAnswered:
      return "answered";
    case claim_verdict::kUnknown:
      return "unknown";
    case claim_verdict::kNotRun:
      return "not_run";
    case claim_verdict::kMismatch:
      return "mismatch";
  }
  return "not_run";
}

std::size_t SizeOf(const http_answer& answer) {
  std::size_t size = answer.body.size();
  for (const http_header& header : answer.headers) {
    size += header.name.size() + header.value.size();
  }
  return size;
}

}  // namespace

claim_system::claim_system(claim_ports ports, incarnation_id incarnation, claim_options options)
    : ports_(ports),
      incarnation_(incarnation),
      options_(options),
      committer_(claim_commit_context{ports.store, ports.time, ports.random, ports.metrics, *this,
                                      options.commit},
                 options.layout, options.cache_bytes) {}

void claim_system::Claim(claim_request claim, claim_listener& listener) {
  const time_point now = ports_.time.Now();
  const request_id request = claim.request;
  if (attempts_.size() >= options_.max_attempts) DropReleased();
  const bool too_large = claim.key.size() + claim.service.size() > options_.largest_key;
  if (too_large || attempts_.size() >= options_.max_attempts) {
    // A caller may take "not run" as the outcome of the key, so a known attempt takes precedence.
    claim_attempt untracked;
    untracked.claim = std::move(claim);
    claim_decision decision = DecisionFor(untracked);
    if (decision.verdict == claim_verdict::kNotRun) {
      decision.reason = too_large ? "the key is too long" : "too many claims are open here";
    }
    refusals_.push_back({std::move(decision), &listener});
    return;
  }
  claim_attempt attempt;
  attempt.id = attempt_id(ports_.random.Draw());
  attempt.claim = std::move(claim);
  attempt.listener = &listener;
  by_request_[request] = attempt.id;
  SendClaim(attempts_.Insert(std::move(attempt)), now);
}

void claim_system::DropReleased() {
  const auto found =
      std::find_if(attempts_.begin(), attempts_.end(), [](const claim_attempt& attempt) {
        return attempt.phase == claim_phase::kSettling &&
               attempt.final_state == claim_state::kNotRun;
      });
  if (found != attempts_.end()) attempts_.Erase(found->id);
}

claim_decision claim_system::Forget(request_id request) {
  claim_decision known;
  known.request = request;
  refusals_.erase(std::remove_if(refusals_.begin(), refusals_.end(),
                                 [&](const refusal& r) { return r.decision.request == request; }),
                  refusals_.end());
  const auto found = by_request_.find(request);
  if (found == by_request_.end()) return known;
  const claim_attempt* attempt = attempts_.Find(found->second);
  if (attempt->phase == claim_phase::kGranted) return known;
  known = DecisionFor(*attempt);
  GiveUp(attempt->id, ports_.time.Now());
  return known;
}

claim_attempt* claim_system::FindGranted(request_id request) {
  const auto found = by_request_.find(request);
  if (found == by_request_.end()) return nullptr;
  claim_attempt* attempt = attempts_.Find(found->second);
  return attempt->phase == claim_phase::kGranted ? attempt : nullptr;
}

void claim_system::ReportDone(request_id request, const http_answer& answer) {
  claim_attempt* attempt = FindGranted(request);
  if (attempt == nullptr) return;
  if (SizeOf(answer) <= options_.largest_answer) {
    attempt->answer = answer;
  } else {
    ports_.metrics.Counter("claim_answers_too_large").Add();
  }
  Settle(*attempt, claim_state::kDone, ports_.time.Now());
}

void claim_system::ReportNotRun(request_id request) {
  claim_attempt* attempt = FindGranted(request);
  if (attempt != nullptr) Settle(*attempt, claim_state::kNotRun, ports_.time.Now());
}

void claim_system::ReportUnknown(request_id request) {
  claim_attempt* attempt = FindGranted(request);
  if (attempt != nullptr) Settle(*attempt, claim_state::kUnknown, ports_.time.Now());
}

claim_change claim_system::ChangeFor(const claim_attempt& attempt, claim_change_kind kind) const {
  claim_change change;
  change.kind = kind;
  change.record.name = {attempt.claim.service, attempt.claim.key};
  change.record.attempt = attempt.id;
  change.record.digest = attempt.claim.digest;
  change.record.claimant = ports_.peers.self();
  change.record.incarnation = incarnation_;
  if (kind == claim_change_kind::kSettle) {
    change.record.state = attempt.final_state;
    change.record.answer = attempt.answer;
  }
  change.replaces = attempt.replaces;
  change.replaces_unknown = attempt.replaces_unknown;
  return change;
}

void claim_system::SendClaim(claim_attempt& attempt, time_point now) {
  attempt.phase = claim_phase::kClaiming;
  attempt.give_up_at = std::min(attempt.claim.deadline, now + options_.budget);
  Send(attempt, ChangeFor(attempt, claim_change_kind::kClaim), now);
}

void claim_system::Send(claim_attempt& attempt, claim_change change, time_point now) {
  const peer_id owner = OwnerOf(change.record.name);
  if (owner == ports_.peers.self()) {
    attempt.forwarded_to = peer_id();
    committer_.Submit(std::move(change), attempt.give_up_at, now);
    return;
  }
  // The owner may write the record at any time from now on, whether or not it replies.
  if (change.kind == claim_change_kind::kClaim) attempt.may_be_written = true;
  attempt.forwarded_to = owner;
  attempt.direct_at = now + options_.forward_timeout;
  // The owner delays settles so that they can be written together with a claim.
  if (change.kind == claim_change_kind::kSettle) attempt.direct_at += options_.commit.settle_delay;
  ports_.metrics.Counter("claims_forwarded").Add();
  claim_forward forward{committer_.buckets(), std::move(change), options_.budget};
  ports_.peers.Send(owner, Encode(forward));
}

void claim_system::SendDirectly(claim_attempt& attempt, time_point now) {
  const bool settling = attempt.phase == claim_phase::kSettling;
  const auto kind = settling ? claim_change_kind::kSettle : claim_change_kind::kClaim;
  attempt.forwarded_to = peer_id();
  ports_.metrics.Counter("claims_forwards_unanswered").Add();
  committer_.Submit(ChangeFor(attempt, kind), attempt.give_up_at, now);
}

peer_id claim_system::OwnerOf(const claim_name& name) const {
  const peer_id self = ports_.peers.self();
  if (!options_.forward || !committer_.ready()) return self;
  const std::uint64_t bucket = BucketOf(name, committer_.buckets());
  peer_id owner = self;
  std::uint64_t best = RendezvousScore(bucket, self.value());
  for (const live_peer& peer : ports_.peers.Peers()) {
    if (!peer.same_data_centre || !peer.linked) continue;
    const std::uint64_t score = RendezvousScore(bucket, peer.id.value());
    if (score <= best) continue;
    best = score;
    owner = peer.id;
  }
  return owner;
}

void claim_system::Decide(claim_attempt& attempt, claim_verdict verdict, std::string reason,
                          const http_answer& answer) {
  attempt.phase = claim_phase::kDecided;
  attempt.decision.request = attempt.claim.request;
  attempt.decision.verdict = verdict;
  attempt.decision.reason = std::move(reason);
  attempt.decision.answer = answer;
  // Only a claim that is known to be stored proves that no other attempt had the key.
  const bool held = verdict == claim_verdict::kGranted;
  attempt.decision.earlier = held ? earlier_requests::kNone : earlier_requests::kUnknown;
}

void claim_system::GiveUp(attempt_id id, time_point now) {
  claim_attempt& attempt = *attempts_.Find(id);
  const claim_name name{attempt.claim.service, attempt.claim.key};
  by_request_.erase(attempt.claim.request);
  const bool granted =
      attempt.phase == claim_phase::kDecided && attempt.decision.verdict == claim_verdict::kGranted;
  const bool may_take_effect = committer_.Withdraw(name, id);
  if (!granted && !may_take_effect && !attempt.may_be_written) {
    attempts_.Erase(id);
    return;
  }
  ports_.metrics.Counter("claims_given_up_written").Add();
  attempt.phase = claim_phase::kGranted;
  Settle(attempt, claim_state::kNotRun, now);
}

void claim_system::Settle(claim_attempt& attempt, claim_state final_state, time_point now) {
  by_request_.erase(attempt.claim.request);
  attempt.phase = claim_phase::kSettling;
  attempt.final_state = final_state;
  attempt.listener = nullptr;
  Send(attempt, ChangeFor(attempt, claim_change_kind::kSettle), now);
}

void claim_system::Run(time_point now) {
  std::vector<attempt_id> ids;
  ids.reserve(attempts_.size());
  for (const claim_attempt& attempt : attempts_) ids.push_back(attempt.id);
  for (const attempt_id id : ids) {
    claim_attempt* attempt = attempts_.Find(id);
    if (attempt != nullptr) RunAttempt(*attempt, now);
  }
  RunMaintenance(now);
  committer_.Run(now);
  DeliverDecisions(now);
  CountAttempts();
}

void claim_system::RunAttempt(claim_attempt& attempt, time_point now) {
  const bool unanswered = attempt.forwarded_to && now >= attempt.direct_at;
  switch (attempt.phase) {
    case claim_phase::kClaiming:
      if (now >= attempt.give_up_at) {
        DecideWithoutStore(attempt, "the store did not answer in time", now);
        return;
      }
      if (unanswered) SendDirectly(attempt, now);
      return;
    case claim_phase::kWaiting:
      RunWaiting(attempt, now);
      return;
    case claim_phase::kLooking:
      if (now < attempt.claim.deadline) return;
      Decide(attempt, claim_verdict::kUnknown, "the service's lookup did not answer in time");
      return;
    case claim_phase::kSettling:
      if (unanswered) SendDirectly(attempt, now);
      return;
    case claim_phase::kDecided:
    case claim_phase::kGranted:
      return;
  }
}

void claim_system::RunWaiting(claim_attempt& attempt, time_point now) {
  if (now >= attempt.claim.deadline) {
    Decide(attempt, claim_verdict::kUnknown, "another attempt holds the key");
    return;
  }
  if (now >= attempt.next_poll) {
    attempt.next_poll = now + options_.poll_interval;
    attempt.give_up_at = attempt.claim.deadline;
    Send(attempt, ChangeFor(attempt, claim_change_kind::kClaim), now);
  }
  if (now >= attempt.next_query) QueryClaimant(attempt, now);
}

void claim_system::RunMaintenance(time_point now) {
  if (!committer_.ready() || now < next_maintenance_) return;
  // Each bucket twice an epoch, so that its epoch's begin and end are both observed.
  next_maintenance_ = now + options_.commit.epoch_length / (2 * committer_.buckets());
  const std::uint32_t bucket = next_maintenance_bucket_;
  next_maintenance_bucket_ = (bucket + 1) % committer_.buckets();
  std::uint64_t best = RendezvousScore(bucket, ports_.peers.self().value());
  for (const live_peer& peer : ports_.peers.Peers()) {
    if (RendezvousScore(bucket, peer.id.value()) > best) return;
  }
  committer_.MaintainBucket(bucket, now);
}

void claim_system::DeliverDecisions(time_point now) {
  std::vector<refusal> decided;
  decided.swap(refusals_);
  std::vector<attempt_id> ids;
  for (const claim_attempt& attempt : attempts_) {
    if (attempt.phase == claim_phase::kDecided) ids.push_back(attempt.id);
  }
  for (const attempt_id id : ids) {
    claim_attempt& attempt = *attempts_.Find(id);
    claim_listener* listener = attempt.listener;
    claim_decision decision = attempt.decision;
    const bool granted = decision.verdict == claim_verdict::kGranted;
    if (granted && now < attempt.claim.deadline) {
      attempt.phase = claim_phase::kGranted;
    } else {
      GiveUp(id, now);
      if (granted) decision.verdict = claim_verdict::kNotRun;
      if (granted) decision.reason = "the deadline passed before the claim was stored";
    }
    decided.push_back({std::move(decision), listener});
  }
  for (const refusal& decision : decided) {
    ports_.metrics
        .Counter("claim_decisions", MetricLabel("verdict", VerdictName(decision.decision.verdict)))
        .Add();
    decision.listener->OnClaimDecision(decision.decision);
  }
}

void claim_system::CountAttempts() { ports_.metrics.Counter("claims_open").Set(attempts_.size()); }

}  // namespace hawthorndrum
