/// Handles the results of an attempt's changes, and the answers of the plain service's lookup.
#include <algorithm>

#include "base/metrics_registry.h"
#include "ports/clock.h"
#include "systems/claim_system.h"

namespace hawthorndrum {

namespace {
constexpr std::size_t kMaxEndedAttempts = 4096;
}  // namespace

void claim_system::OnClaimResult(const claim_result& result) {
  if (result.origin) {
    if (forwarded_in_ > 0) forwarded_in_ -= 1;
    claim_forward_result reply{result};
    const bool refused = result.kind == claim_result_kind::kRefused;
    // Without the store, this daemon still knows its own attempts at the key.
    const auto own = refused ? OtherLocalAttempt(result.name, result.attempt) : std::nullopt;
    if (own) reply.result.present = *own;
    ports_.peers.Send(result.origin, Encode(reply));
    return;
  }
  HandleResult(result);
}

void claim_system::HandleResult(const claim_result& result) {
  claim_attempt* attempt = attempts_.Find(result.attempt);
  if (attempt == nullptr) return;
  const time_point now = ports_.time.Now();
  if (result.change == claim_change_kind::kClaim) {
    HandleClaimResult(*attempt, result, now);
  } else if (result.change == claim_change_kind::kSettle) {
    HandleSettleResult(*attempt, result);
  }
}

void claim_system::HandleClaimResult(claim_attempt& attempt, const claim_result& result,
                                     time_point now) {
  const bool open =
      attempt.phase == claim_phase::kClaiming || attempt.phase == claim_phase::kWaiting;
  if (!open) return;
  if (result.kind == claim_result_kind::kRefused) {
    HandleRefusal(attempt, result, now);
    return;
  }
  // The owner, the only one that could write the change, has replied with what is stored.
  if (attempt.forwarded_to) attempt.may_be_written = false;
  attempt.forwarded_to = peer_id();
  switch (result.kind) {
    case claim_result_kind::kAcquired:
      Decide(attempt, claim_verdict::kGranted, "");
      return;
    case claim_result_kind::kDone:
      Decide(attempt, claim_verdict::kAnswered, "", result.present.answer);
      return;
    case claim_result_kind::kMismatch:
      Decide(attempt, claim_verdict::kMismatch, "the key was used with another request");
      return;
    case claim_result_kind::kOpen:
      WaitFor(attempt, result.present, now);
      return;
    case claim_result_kind::kUnknown:
      attempt.other = result.present;
      LookUp(attempt, true, now);
      return;
    case claim_result_kind::kFull:
      ports_.metrics.Counter("claims_refused_bucket_full").Add();
      Decide(attempt, claim_verdict::kNotRun, "the store of claims is full");
      return;
    default:
      Decide(attempt, claim_verdict::kNotRun, "the claim was set to not run");
      return;
  }
}

void claim_system::HandleRefusal(claim_attempt& attempt, const claim_result& result,
                                 time_point now) {
  if (result.present.attempt) attempt.known = result.present;
  if (attempt.forwarded_to) {
    // The owner has dropped the change, so its report of what it may have written is final.
    attempt.may_be_written = result.may_be_written;
    SendDirectly(attempt, now);
    return;
  }
  attempt.may_be_written = attempt.may_be_written || result.may_be_written;
  // While the attempt waits for another's claim, the claimant may still answer.
  if (attempt.phase == claim_phase::kWaiting) return;
  DecideWithoutStore(attempt, "the store of claims can't be reached", now);
}

void claim_system::DecideWithoutStore(claim_attempt& attempt, std::string reason, time_point now) {
  // A caller may take "not run" as the outcome of the key, so it is returned only if no other
  // attempt that may run or may have run is known here or at the bucket's owner.
  const std::optional<claim_record> other = KnownOtherAttempt(attempt);
  if (!other) {
    Decide(attempt, claim_verdict::kNotRun, std::move(reason));
    return;
  }
  if (other->digest != attempt.claim.digest) {
    Decide(attempt, claim_verdict::kMismatch, "the key was used with another request");
    return;
  }
  switch (other->state) {
    case claim_state::kDone:
      Decide(attempt, claim_verdict::kAnswered, "", other->answer);
      return;
    case claim_state::kClaimed:
      WaitFor(attempt, *other, now);
      return;
    default:
      attempt.other = *other;
      LookUp(attempt, true, now);
      return;
  }
}

std::optional<claim_record> claim_system::KnownOtherAttempt(const claim_attempt& attempt) const {
  const auto may_have_run = [&](const claim_record& record) {
    return record.attempt && record.attempt != attempt.id && record.attempt != attempt.replaces &&
           record.state != claim_state::kNotRun;
  };
  const claim_name name{attempt.claim.service, attempt.claim.key};
  std::optional<claim_record> own = OtherLocalAttempt(name, attempt.id);
  if (own) return own;
  const claim_record* seen = committer_.LastSeen(name);
  if (seen != nullptr && may_have_run(*seen)) return *seen;
  if (may_have_run(attempt.known)) return attempt.known;
  return std::nullopt;
}

std::optional<claim_record> claim_system::OtherLocalAttempt(const claim_name& name,
                                                            attempt_id excluded) const {
  for (const claim_attempt& held : attempts_) {
    if (held.id == excluded || held.claim.key != name.key) continue;
    if (held.claim.service != name.service) continue;
    const bool settles = held.phase == claim_phase::kSettling;
    const bool may_run = settles && held.final_state != claim_state::kNotRun;
    if (may_run) return ChangeFor(held, claim_change_kind::kSettle).record;
    if (held.phase == claim_phase::kGranted) {
      return ChangeFor(held, claim_change_kind::kClaim).record;
    }
  }
  return std::nullopt;
}

claim_decision claim_system::DecisionFor(const claim_attempt& attempt) const {
  claim_decision decision;
  decision.request = attempt.claim.request;
  if (attempt.phase == claim_phase::kDecided) {
    decision = attempt.decision;
    if (decision.verdict == claim_verdict::kGranted) decision.verdict = claim_verdict::kNotRun;
    return decision;
  }
  const bool has_other =
      attempt.phase == claim_phase::kWaiting || attempt.phase == claim_phase::kLooking;
  const std::optional<claim_record> other = has_other ? attempt.other : KnownOtherAttempt(attempt);
  if (!other) return decision;
  if (other->digest != attempt.claim.digest) {
    decision.verdict = claim_verdict::kMismatch;
  } else if (other->state == claim_state::kDone) {
    decision.verdict = claim_verdict::kAnswered;
    decision.answer = other->answer;
  } else {
    decision.verdict = claim_verdict::kUnknown;
    decision.reason = "an earlier attempt with the key may have run, or may yet";
  }
  return decision;
}

void claim_system::HandleSettleResult(const claim_attempt& attempt, const claim_result& result) {
  if (attempt.phase != claim_phase::kSettling) return;
  const bool stored = result.kind == claim_result_kind::kSettled;
  if (!stored && result.kind != claim_result_kind::kLost) return;
  const bool had_run = attempt.final_state != claim_state::kNotRun;
  if (!stored && had_run) ports_.metrics.Counter("claims_settle_lost").Add();
  attempts_.Erase(attempt.id);
}

void claim_system::WaitFor(claim_attempt& attempt, const claim_record& other, time_point now) {
  const bool same =
      attempt.phase == claim_phase::kWaiting && attempt.other.attempt == other.attempt;
  attempt.phase = claim_phase::kWaiting;
  attempt.other = other;
  if (same) return;
  ports_.metrics.Counter("claims_waiting_for_another").Add();
  attempt.queries_sent = 0;
  attempt.other_ended = false;
  attempt.next_poll = now + options_.poll_interval;
  QueryClaimant(attempt, now);
}

void claim_system::LookUp(claim_attempt& attempt, bool ended, time_point now) {
  attempt.other_ended = ended;
  if (ended) QuarantineOver(attempt.other.attempt, now);
  if (ports_.lookup == nullptr || attempt.claim.lookup_path.empty()) {
    Decide(attempt, claim_verdict::kUnknown, "an earlier attempt may have run");
    return;
  }
  attempt.phase = claim_phase::kLooking;
  attempt.next_lookup = now + options_.lookup_interval;
  ports_.metrics.Counter("claim_lookups").Add();
  ports_.lookup->Ask(
      {attempt.claim.request, attempt.claim.service, attempt.claim.lookup_path, attempt.claim.key},
      *this);
}

void claim_system::OnLookupAnswer(const lookup_answer& answer) {
  const auto found = by_request_.find(answer.request);
  if (found == by_request_.end()) return;
  claim_attempt& attempt = *attempts_.Find(found->second);
  if (attempt.phase == claim_phase::kLooking) HandleLookup(attempt, answer, ports_.time.Now());
}

void claim_system::HandleLookup(claim_attempt& attempt, const lookup_answer& answer,
                                time_point now) {
  if (answer.state == lookup_state::kDone) {
    claim_change change;
    change.kind = claim_change_kind::kResolve;
    change.record = attempt.other;
    change.record.state = claim_state::kDone;
    change.record.answer = answer.answer;
    committer_.Submit(std::move(change), time_point::max(), now);
    ports_.metrics.Counter("claims_settled_by_lookup").Add();
    Decide(attempt, claim_verdict::kAnswered, "", answer.answer);
    return;
  }
  if (!attempt.other_ended) {
    attempt.phase = claim_phase::kWaiting;
    return;
  }
  if (answer.state == lookup_state::kNotRun && QuarantineOver(attempt.other.attempt, now)) {
    attempt.replaces = attempt.other.attempt;
    attempt.replaces_unknown = true;
    ports_.metrics.Counter("claims_freed_by_lookup").Add();
    SendClaim(attempt, now);
    return;
  }
  Decide(attempt, claim_verdict::kUnknown, "an earlier attempt may have run, or may yet");
}

bool claim_system::QuarantineOver(attempt_id ended, time_point now) {
  const auto found = std::find_if(ended_.begin(), ended_.end(), [&](const ended_attempt& known) {
    return known.attempt == ended;
  });
  if (found != ended_.end()) return now - found->since >= options_.lookup_quarantine;
  if (ended_.size() >= kMaxEndedAttempts) ended_.pop_front();
  ended_.push_back({ended, now});
  return false;
}

expected<void> claim_system::Resolve(const claim_name& name, attempt_id attempt,
                                     claim_state state) {
  const claim_record* present = committer_.LastSeen(name);
  if (present == nullptr || present->attempt != attempt) {
    return tl::unexpected(
        error{error_code::kNotFound, "no such attempt was seen; load the key first"});
  }
  const bool open =
      present->state == claim_state::kClaimed || present->state == claim_state::kUnknown;
  if (!open) return tl::unexpected(error{error_code::kConflict, "the claim is settled"});
  const bool claimant_is_self = present->claimant == ports_.peers.self();
  const bool claimant_alive = claimant_is_self ? present->incarnation == incarnation_
                                               : IsPeer(present->claimant, present->incarnation);
  if (present->state == claim_state::kClaimed && claimant_alive) {
    return tl::unexpected(error{error_code::kConflict, "the daemon that made the claim lives"});
  }
  claim_change change;
  change.kind = claim_change_kind::kResolve;
  change.record = *present;
  change.record.state = state;
  committer_.Submit(std::move(change), time_point::max(), ports_.time.Now());
  ports_.metrics.Counter("claims_settled_by_operator").Add();
  return {};
}

expected<void> claim_system::Load(const claim_name& name) {
  if (!committer_.ready()) {
    return tl::unexpected(error{error_code::kUnavailable, "the store was not read yet"});
  }
  committer_.Fetch(name, ports_.time.Now());
  return {};
}

}  // namespace hawthorndrum
