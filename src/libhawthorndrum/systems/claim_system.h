/// Claims: a request that may not be repeated runs at most once in the fleet.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/table.h"
#include "ports/lookup_port.h"
#include "ports/peer_port.h"
#include "systems/claim_attempt.h"
#include "systems/claim_committer.h"
#include "systems/claim_gate.h"
#include "systems/claim_messages.h"

namespace hawthorndrum {

struct claim_options {
  /** Used only by the first daemon of a fleet; then the stored layout holds. */
  claim_layout layout;
  /** How long the store may take for a claim before it is refused as not run. */
  duration budget = seconds(3);
  /** Whether changes go through the daemon of this data centre that owns the bucket. */
  bool forward = true;
  /** How long the owner may take before the change is written directly. */
  duration forward_timeout = milliseconds(250);
  /** How often the maker of another's open claim is asked; doubles up to the longest. */
  duration first_question = milliseconds(50);
  duration longest_question = seconds(1);
  /** How often the store is read for the outcome of another's open claim. */
  duration poll_interval = seconds(1);
  /** How long an ended attempt's bytes may still reach an upstream: lookup's "not run" counts only
   *  after it. */
  duration lookup_quarantine = seconds(120);
  duration lookup_interval = seconds(1);
  std::size_t most_attempts = 2048;
  std::size_t most_forwarded = 2048;
  std::size_t largest_key = 512;
  /** A larger answer is kept as status 0. */
  std::size_t largest_answer = 4096;
  std::size_t cache_bytes = 8 * 1024 * 1024;
  claim_commit_limits commit;
};

/** What the claim system acts through. `lookup` may be nullptr. */
struct claim_ports {
  object_store& store;
  peer_port& peers;
  const clock& time;
  random_source& random;
  metrics_registry& metrics;
  lookup_port* lookup = nullptr;
};

/**
 * Grants claims. A request is granted only when its attempt's record is known to be in the store,
 * and only while this daemon still holds the attempt's row and its deadline has not passed. An
 * attempt that was given up loses its row, so that nothing that lands or arrives later can grant
 * it. Decisions are given out by Run, never from within Claim.
 */
class claim_system : public claim_gate,
                     public system,
                     public peer_listener,
                     public claim_result_listener,
                     public lookup_listener {
 public:
  claim_system(claim_ports ports, incarnation_id incarnation, claim_options options);

  void Claim(claim_wish wish, claim_listener& listener) override;
  claim_decision Forget(request_id request) override;
  void ReportDone(request_id request, const http_answer& answer) override;
  void ReportNotRun(request_id request) override;
  void ReportUnknown(request_id request) override;

  void Run(time_point now) override;
  /** Topics kClaimForward, kClaimQuery and kClaimReply. */
  void OnPeerMessage(peer_id from, const peer_message& message) override;
  void OnClaimResult(const claim_result& result) override;
  void OnLookupAnswer(const lookup_answer& answer) override;

  /** An operator's word on a record; `attempt` keeps it from touching another try. */
  expected<void> Resolve(const claim_name& name, attempt_id attempt, claim_state state);
  /** Reads the claim's bucket, for LastSeen of the committer. */
  expected<void> Load(const claim_name& name);

  const table<attempt_id, claim_attempt>& attempts() const { return attempts_; }
  const claim_committer& committer() const { return committer_; }

 private:
  /** Makes room: an attempt without a row never runs, so one that did not run needs none. */
  void DropReleased();
  claim_attempt* FindGranted(request_id request);
  claim_change ChangeFor(const claim_attempt& attempt, claim_change_kind kind) const;
  void SendClaim(claim_attempt& attempt, time_point now);
  void Send(claim_attempt& attempt, claim_change change, time_point now);
  void SendDirectly(claim_attempt& attempt, time_point now);
  peer_id OwnerOf(const claim_name& name) const;

  void TakeResult(const claim_result& result);
  void TakeClaimResult(claim_attempt& attempt, const claim_result& result, time_point now);
  void TakeRefusal(claim_attempt& attempt, const claim_result& result, time_point now);
  void TakeSettleResult(const claim_attempt& attempt, const claim_result& result);

  void WaitFor(claim_attempt& attempt, const claim_record& other, time_point now);
  void Decide(claim_attempt& attempt, claim_verdict verdict, std::string reason,
              const http_answer& answer = {});
  /** Ends, or lets wait, an attempt of which the store could not be asked. */
  void DecideUnasked(claim_attempt& attempt, std::string reason, time_point now);
  /** Another attempt that may run, or may have run, as far as is known without the store. */
  std::optional<claim_record> KnownOther(const claim_attempt& attempt) const;
  /** An attempt of this daemon, other than `apart`, that may run or may have run. */
  std::optional<claim_record> OwnOther(const claim_name& name, attempt_id apart) const;
  /** What can be said of a request when nothing more will be asked. */
  claim_decision DecisionFor(const claim_attempt& attempt) const;
  void GiveUp(attempt_id id, time_point now);
  void Settle(claim_attempt& attempt, claim_state last_word, time_point now);

  void RunAttempt(claim_attempt& attempt, time_point now);
  void RunWaiting(claim_attempt& attempt, time_point now);
  void RunVisits(time_point now);
  void GiveOutDecisions(time_point now);
  void CountAttempts();

  void AskMaker(claim_attempt& attempt, time_point now);
  claim_query_answer FateOf(const claim_query& query) const;
  void TakeFate(const claim_query_answer& answer, peer_id from);
  void TakeForward(peer_id from, const peer_message& message);
  void TakeReply(peer_id from, const peer_message& message);
  bool IsPeer(peer_id id) const;
  bool IsPeer(peer_id id, incarnation_id incarnation) const;

  void LookUp(claim_attempt& attempt, bool ended, time_point now);
  void TakeLookup(claim_attempt& attempt, const lookup_answer& answer, time_point now);
  bool QuarantineOver(attempt_id ended, time_point now);

  claim_ports ports_;
  incarnation_id incarnation_;
  claim_options options_;
  claim_committer committer_;
  table<attempt_id, claim_attempt> attempts_;
  std::unordered_map<request_id, attempt_id> by_request_;

  struct refusal {
    claim_decision decision;
    claim_listener* listener = nullptr;
  };
  /** Wishes that never got a row. */
  std::vector<refusal> refusals_;

  /** When this daemon first knew that an attempt of another had ended; oldest first, bounded. */
  struct ended_attempt {
    attempt_id attempt;
    time_point since;
  };
  std::deque<ended_attempt> ended_;
  /** Forwarded changes that wait in the committer. */
  std::size_t forwarded_in_ = 0;
  std::uint32_t next_visit_bucket_ = 0;
  time_point next_visit_;
};

}  // namespace hawthorndrum
