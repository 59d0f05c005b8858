/// Admission control: admits requests, orders the queue, and refuses early what would be late.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "systems/load_estimate.h"
#include "systems/problem_answer.h"
#include "systems/system.h"
#include "systems/token_bucket.h"
#include "tables/request_row.h"

namespace hawthorndrum {

class routing_system;

/**
 * Enforces each service's request rate, concurrency and queue length. The queue is ordered by
 * effective priority, which rises with the share of a request's useful time that has passed, so
 * that no request starves. Low-priority requests are sent only while the upstream's own queue is
 * short; until then they wait here, where higher priorities overtake them.
 */
class admission_system : public system {
 public:
  static constexpr std::size_t kLongestQueue = 4096;
  static constexpr std::size_t kMaxHeldBytes = std::size_t{256} << 20;

  admission_system(const request_table& requests, const routing_system& routing);

  /** Returns why a new request is refused, or nothing if it is admitted. */
  std::optional<refusal> Admit(const request_row& request, time_point now);

  /** Counts the request against its service until Release. */
  void Hold(const request_row& request);
  void Release(const request_row& request);

  void Enqueue(const request_row& request);
  void Dequeue(request_id request);
  /** Records that an attempt of the service was opened or closed. */
  void OnAttemptOpened(const request_row& request, time_point now);
  void OnAttemptClosed(const request_row& request);

  /** Returns the queued requests, most urgent first. */
  const std::vector<request_id>& InOrder(time_point now);

  /** Returns whether the service's concurrency limit allows another attempt. */
  bool MayOpen(const request_row& request) const;
  /** Returns whether the request may go to an upstream with that estimate now, or should wait. */
  bool HasRoom(const request_row& request, const load_estimate& estimate, time_point now) const;

  /** Returns the latest time at which the request can be sent and still be answered in time. */
  time_point LatestSendTime(const request_row& request, time_point now) const;

  /** Returns the priority, raised with the request's age, but not up to that of a phone caller. */
  static int EffectivePriority(const request_row& request, time_point now);

  std::size_t queued() const { return queue_.size(); }
  void Run(time_point now) override;

 private:
  struct service_state {
    token_bucket rate;
    std::uint32_t held = 0;
    std::uint32_t open = 0;
    time_point last_used;
  };
  /** How fast requests of one upstream group and priority leave the queue. */
  struct drain_state {
    double seconds_between = 0;
    time_point last;
  };

  service_state& StateOf(const service_config& service);
  std::optional<refusal> RefuseByLimits(const request_row& request, time_point now);
  std::optional<refusal> RefuseByTime(const request_row& request, time_point now) const;
  void PutAgedFirst(time_point now);
  duration QueueWait(const request_row& request) const;

  const request_table& requests_;
  const routing_system& routing_;
  std::vector<request_id> queue_;
  bool sorted_ = true;
  time_point sorted_at_;
  std::size_t held_bytes_ = 0;
  /** Attempts opened so far. */
  std::uint32_t opened_ = 0;
  /** The value of opened_ when an aged request was last put first, and that request. */
  std::uint32_t opened_at_aged_ = 0;
  request_id aged_request_;
  std::unordered_map<std::string, service_state> services_;
  std::unordered_map<std::uint64_t, drain_state> drains_;
  time_point last_sweep_;
};

}  // namespace hawthorndrum
