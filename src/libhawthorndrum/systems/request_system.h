/// The request path: accepts callers' requests, runs them on upstreams and answers the callers.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/http_message.h"
#include "ports/attempt_event.h"
#include "ports/peer_port.h"
#include "systems/admission_system.h"
#include "systems/answer_writer.h"
#include "systems/claim_gate.h"
#include "systems/decision_log.h"
#include "systems/poison_system.h"
#include "systems/request_ports.h"
#include "systems/retry_budget.h"
#include "systems/routing_system.h"
#include "systems/spill_system.h"
#include "systems/suspect_lock.h"
#include "systems/system.h"
#include "systems/timer_queue.h"
#include "tables/attempt_row.h"
#include "tables/request_row.h"

namespace hawthorndrum {

class counter;

/**
 * Takes each request through parsing, admission, claiming, queueing, its attempts and the answer.
 * Events arrive through the On... methods and are handled there or in Run.
 *
 * Invariants: each request gets exactly one answer; an event whose attempt is not in attempts_
 * changes nothing; a granted claim gets exactly one report.
 */
class request_system : public system, public claim_listener, public peer_listener {
 public:
  explicit request_system(const request_ports& ports);
  ~request_system() override;

  void OnRequest(request_id id, http_request request);
  void OnCallerGone(request_id id);

  void OnAttemptHead(const attempt_head& head);
  void OnAttemptBytes(const attempt_bytes& bytes);
  void OnAttemptFinished(const attempt_finished& finished);
  void OnAttemptLost(const attempt_lost& lost);

  void OnClaimDecision(const claim_decision& decision) override;

  /** Handles the topics kSuspect and kSuspectLock. */
  void OnPeerMessage(peer_id from, const peer_message& message) override;

  /** Updates the daemons of other data centres, to which requests may spill. */
  void OnHostList(boost::span<const host_entry> hosts) { spill_.OnHostList(hosts); }

  void Run(time_point now) override;

  /** Begins a graceful stop: refuses new requests and lets those in flight finish. */
  void BeginStop() { stopping_ = true; }
  bool stopping() const { return stopping_; }
  /** Returns the number of unfinished requests, including those detached from their caller. */
  std::size_t in_flight() const { return requests_.size(); }

  /**
   * Returns whether this daemon knows its engines well enough to route as its peers do. Until
   * then, model requests whose fingerprint has not been answered before wait, so the daemon should
   * not be reported as ready.
   */
  bool is_settled() const { return routing_.is_settled(); }

  /** The admin section `why`. */
  admin_section& why() { return decisions_; }
  /** The admin section `poison`. */
  admin_section& poison() { return poison_; }
  /** The index that the engines' cache events update. */
  prefix_index& prefixes() { return routing_.prefixes(); }

 private:
  /** How an attempt ended without an answer. */
  struct attempt_problem {
    refusal why;
    bool may_have_run = true;
    /** Whether the failure counts against the upstream. */
    bool upstream_failed = false;
    /** Whether the request may have crashed the upstream. */
    bool crashed = false;
  };

  void Refuse(const request_row& request, const refusal& why);
  std::optional<refusal> Admit(const request_row& request, time_point now);
  /** Admits a request spilled from another data centre if it can start here at once. */
  std::optional<refusal> AdmitSpilled(const request_row& request, time_point now);
  /** Returns where a request that was refused here may spill to, if anywhere. */
  std::optional<spill_target> ChooseSpillTarget(const request_row& request, const refusal& why,
                                                time_point now);
  void SpillOver(request_row& request, const spill_target& to, time_point now);
  /** Handles a failed spill: queues the request here, or fails it. */
  void OnSpillFailed(request_row& request, const attempt_problem& problem, time_point now);
  void Queue(request_row& request, time_point now);
  void FireTimers(time_point now);
  void FireTimer(request_row& request, time_point now);
  void Expire(request_row& request);
  void GiveUpOrWait(request_row& request, time_point now);
  void DispatchQueue(time_point now);
  void Dispatch(request_row& request, const routing_choice& choice, time_point now);
  /** Sends at most one suspect, once it may run alone. */
  void DispatchSuspect(const std::vector<request_id>& suspects, time_point now);
  refusal Convicted(const request_row& request, time_point now) const;

  void OnClaimGranted(request_row& request, time_point now);
  void Relay(attempt_row& attempt, request_row& request, std::string_view bytes);
  bool RelayEvent(attempt_row& attempt, request_row& request, sse_event event);
  void AppendBody(attempt_row& attempt, request_row& request, std::string_view bytes);
  void FinishAnswer(attempt_row& attempt, request_row& request);
  void FinishStream(attempt_row& attempt, request_row& request);

  /** Handles a failed attempt: schedules another one, or fails the request. */
  void Recover(attempt_row& attempt, const attempt_problem& problem, bool cancel);
  bool MayRetry(const request_row& request, bool is_suspect, time_point now);
  void CloseAttempt(const attempt_row& attempt, std::string result);
  void MarkUpstream(upstream_id id, bool failed, time_point now);
  duration Backoff(std::uint32_t attempts);

  /** Ends the request without a complete answer and reports its claim. */
  void Fail(request_row& request, refusal why);
  /** Detaches an answered or departed caller; the attempt goes on so that its claim is settled. */
  void Detach(request_row& request, time_point now);
  void Erase(request_id id);

  request_ports ports_;
  request_table requests_;
  attempt_table attempts_;
  routing_system routing_;
  admission_system admission_;
  retry_budget retries_;
  decision_log decisions_;
  answer_writer answers_;
  poison_system poison_;
  suspect_lock suspect_lock_;
  spill_system spill_;
  timer_queue timers_;
  bool stopping_ = false;
  /** Whether something happened that may allow a queued request to be dispatched. */
  bool dispatch_needed_ = true;
  time_point dispatched_;
  counter& dropped_events_;
  counter& attempts_total_;
  counter& retries_total_;
  counter& resumes_total_;
  counter& bad_peer_messages_;
};

}  // namespace hawthorndrum
