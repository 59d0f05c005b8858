/// The store client: bounds and counts the daemon's calls to the object store, with a circuit
/// breaker.
#pragma once

#include <array>
#include <unordered_map>
#include <vector>

#include "ports/object_store.h"
#include "systems/circuit_breaker.h"
#include "systems/system.h"

namespace hawthorndrum {

class clock;
class counter;
class metrics_registry;
class random_source;

struct store_client_limits {
  /** The bound on calls in flight at the raw store; watches are counted separately. */
  std::size_t outstanding = 64;
  std::size_t watches = 16;
  /** Backoff before a failed read is retried; doubles up to the longest. */
  duration first_backoff = milliseconds(20);
  duration longest_backoff = milliseconds(500);
  /** How long after its own timeout a watch may still answer. */
  duration watch_grace = seconds(2);
  breaker_limits breaker;
};

/**
 * An object_store that wraps the raw one. Each call gets one answer, from Run or when the raw store
 * answers, at the latest after its timeout: a write that was sent then ends as kUnknown; a read or
 * watch, which has no effect, and a call that was not sent end as kRefused. Later answers are
 * dropped and counted. Failed reads are retried until their timeout; writes and watches never are.
 * While the breaker is open, or too many calls are in flight, a call is refused without being sent.
 * While the breaker's one probe is in flight, calls wait unsent for its end, within their timeouts
 * and up to the bound of outstanding calls.
 */
class store_client : public object_store, public store_listener, public system {
 public:
  store_client(object_store& raw, const clock& clock, random_source& random,
               metrics_registry& metrics, store_client_limits limits = {});

  store_call_id Submit(store_call call, store_listener& listener) override;
  void OnStoreAnswer(store_call_id raw_id, const store_answer& answer) override;
  /** Ends calls past their deadlines, retries reads, and counts the time per breaker state. */
  void Run(time_point now) override;

  breaker_state state() const { return breaker_.state(); }
  std::size_t outstanding() const { return sent_.size(); }

 private:
  struct pending_call {
    store_call_id id;
    store_call call;
    store_listener* listener = nullptr;
    time_point sent;
    time_point deadline;
    /** When a failed read is sent again. */
    time_point retry_at;
    std::uint32_t refusals = 0;
    /** Set for a call that is answered as refused at the next Run. */
    bool refused_unsent = false;
  };

  bool Send(pending_call call, time_point now);
  bool HasRoom(store_operation operation) const;
  /** Whether the call has to wait for the probe in flight. */
  bool AwaitsProbe(store_operation operation, time_point now);
  void RecordOutcome(const pending_call& call, store_outcome outcome, time_point now);
  bool RetryLater(pending_call& call, store_outcome outcome, time_point now);
  void Deliver(const pending_call& call, const store_answer& answer);
  void EndOverdue(time_point now);
  void RunWaiting(time_point now);
  void CountBreaker(time_point now);
  counter& CallCounter(store_operation operation, store_outcome outcome);

  object_store& raw_;
  const clock& clock_;
  random_source& random_;
  metrics_registry& metrics_;
  store_client_limits limits_;
  circuit_breaker breaker_;
  /** Calls in flight at the raw store, by its id; a call that timed out is removed. */
  std::unordered_map<store_call_id, pending_call> sent_;
  /** Calls that wait for Run: refused unsent, waiting for the probe, or reads to be retried. */
  std::vector<pending_call> waiting_;
  std::size_t watches_out_ = 0;
  std::uint64_t last_id_ = 0;
  time_point breaker_counted_;
  bool breaker_counting_ = false;
  std::array<duration, 3> breaker_remainder_{};
};

}  // namespace hawthorndrum
