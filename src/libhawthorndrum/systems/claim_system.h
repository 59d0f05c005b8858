/// The claim system: a request that may not be repeated runs at most once in the fleet.
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
  /** Used only by the first daemon of a fleet; afterwards the stored layout applies. */
  claim_layout layout;
  /** How long the store may take for a claim before the claim is refused as not run. */
  duration budget = seconds(3);
  /** Whether changes are forwarded to the daemon of this data centre that owns the bucket. */
  bool forward = true;
  /** How long the owner may take before the change is written directly. */
  duration forward_timeout = milliseconds(250);
  /** The interval of queries to the claimant of another's open claim; doubles up to the longest. */
  duration first_query_interval = milliseconds(50);
  duration longest_query_interval = seconds(1);
  /** The interval of store reads for the outcome of another's open claim. */
  duration poll_interval = seconds(1);
  /** How long the bytes of an ended attempt may still reach an upstream; lookup's "not run" counts
   *  only after this time. */
  duration lookup_quarantine = seconds(120);
  duration lookup_interval = seconds(1);
  std::size_t max_attempts = 2048;
  std::size_t max_forwarded = 2048;
  std::size_t largest_key = 512;
  /** A larger answer is stored as status 0, without its body. */
  std::size_t largest_answer = 4096;
  std::size_t cache_bytes = 8 * 1024 * 1024;
  claim_commit_limits commit;
};

/** The claim system's dependencies. `lookup` may be nullptr. */
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
 * attempt that is given up loses its row or is settled as not run, so that no write or message that
 * arrives later can grant it. Run delivers decisions; Claim never does.
 */
class claim_system : public claim_gate,
                     public system,
                     public peer_listener,
                     public claim_result_listener,
                     public lookup_listener {
 public:
  claim_system(claim_ports ports, incarnation_id incarnation, claim_options options);

  void Claim(claim_request claim, claim_listener& listener) override;
  claim_decision Forget(request_id request) override;
  void ReportDone(request_id request, const http_answer& answer) override;
  void ReportNotRun(request_id request) override;
  void ReportUnknown(request_id request) override;

  void Run(time_point now) override;
  /** Topics kClaimForward, kClaimQuery and kClaimReply. */
  void OnPeerMessage(peer_id from, const peer_message& message) override;
  void OnClaimResult(const claim_result& result) override;
  void OnLookupAnswer(const lookup_answer& answer) override;

  /** Sets a record's state for an operator; refused unless the record is of `attempt`. */
  expected<void> Resolve(const claim_name& name, attempt_id attempt, claim_state state);
  /** Reads the claim's bucket, so that the committer's LastSeen finds the claim. */
  expected<void> Load(const claim_name& name);

  const table<attempt_id, claim_attempt>& attempts() const { return attempts_; }
  const claim_committer& committer() const { return committer_; }

 private:
  /** Frees the row of an attempt that is being settled as not run: without a row it can't run. */
  void DropReleased();
  claim_attempt* FindGranted(request_id request);
  claim_change ChangeFor(const claim_attempt& attempt, claim_change_kind kind) const;
  void SendClaim(claim_attempt& attempt, time_point now);
  void Send(claim_attempt& attempt, claim_change change, time_point now);
  void SendDirectly(claim_attempt& attempt, time_point now);
  peer_id OwnerOf(const claim_name& name) const;

  void HandleResult(const claim_result& result);
  void HandleClaimResult(claim_attempt& attempt, const claim_result& result, time_point now);
  void HandleRefusal(claim_attempt& attempt, const claim_result& result, time_point now);
  void HandleSettleResult(const claim_attempt& attempt, const claim_result& result);

  void WaitFor(claim_attempt& attempt, const claim_record& other, time_point now);
  void Decide(claim_attempt& attempt, claim_verdict verdict, std::string reason,
              const http_answer& answer = {});
  /** Decides an attempt, or keeps it waiting, when the store could not be reached. */
  void DecideWithoutStore(claim_attempt& attempt, std::string reason, time_point now);
  /** Another attempt that may run, or may have run, as far as known without the store. */
  std::optional<claim_record> KnownOtherAttempt(const claim_attempt& attempt) const;
  /** An attempt of this daemon, other than `excluded`, that may run or may have run. */
  std::optional<claim_record> OtherLocalAttempt(const claim_name& name, attempt_id excluded) const;
  /** The decision for a request by what is known now, without further calls. */
  claim_decision DecisionFor(const claim_attempt& attempt) const;
  void GiveUp(attempt_id id, time_point now);
  void Settle(claim_attempt& attempt, claim_state final_state, time_point now);

  void RunAttempt(claim_attempt& attempt, time_point now);
  void RunWaiting(claim_attempt& attempt, time_point now);
  void RunMaintenance(time_point now);
  void DeliverDecisions(time_point now);
  void CountAttempts();

  void QueryClaimant(claim_attempt& attempt, time_point now);
  claim_query_answer ProgressOf(const claim_query& query) const;
  void HandleProgress(const claim_query_answer& answer, peer_id from);
  void HandleForward(peer_id from, const peer_message& message);
  void HandleReply(peer_id from, const peer_message& message);
  bool IsPeer(peer_id id) const;
  bool IsPeer(peer_id id, incarnation_id incarnation) const;

  void LookUp(claim_attempt& attempt, bool ended, time_point now);
  void HandleLookup(claim_attempt& attempt, const lookup_answer& answer, time_point now);
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
  /** Claims that never got a row. */
  std::vector<refusal> refusals_;

  /** When this daemon first learned that an attempt of another had ended; oldest first, bounded. */
  struct ended_attempt {
    attempt_id attempt;
    time_point since;
  };
  std::deque<ended_attempt> ended_;
  /** Forwarded changes that wait in the committer. */
  std::size_t forwarded_in_ = 0;
  std::uint32_t next_maintenance_bucket_ = 0;
  time_point next_maintenance_;
};

}  // namespace hawthorndrum
