/// Lets requests in, keeps those that must wait in order, and refuses early what can't be in time.
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
 * Per service: a request rate, a concurrency and a queue length. The queue is ordered by effective
 * priority, which rises with the part of a request's useful time that has passed, so that nothing
 * starves. Low priorities are sent only while the upstream's own queue is short; the rest of
 * their wait happens here, where higher ones overtake them.
 */
class admission_system : public system {
 public:
  static constexpr std::size_t kLongestQueue = 4096;
  static constexpr std::size_t kMostHeldBytes = std::size_t{256} << 20;

  admission_system(const request_table& requests, const routing_system& routing);

  /** Decides on a new request; returns why it is refused, or nothing. */
  std::optional<refusal> Admit(const request_row& request, time_point now);

  /** From Admit to Release a request counts against its service. */
  void Hold(const request_row& request);
  void Release(const request_row& request);

  void Enqueue(const request_row& request);
  void Dequeue(request_id request);
  /** An attempt of the service was opened or closed. */
  void Opened(const request_row& request, time_point now);
  void Closed(const request_row& request);

  /** The queued requests, most urgent first. */
  const std::vector<request_id>& InOrder(time_point now);

  /** Whether the service's concurrency lets one more attempt open. */
  bool MayOpen(const request_row& request) const;
  /** Whether the request may go to an upstream with that estimate now, or should wait. */
  bool HasRoom(const request_row& request, const load_estimate& estimate, time_point now) const;

  /** The last moment at which sending the request makes sense. */
  time_point GiveUpAt(const request_row& request, time_point now) const;

  /** The request's priority, raised with its age, but not up to that of a caller on the phone. */
  static int EffectivePriority(const request_row& request, time_point now);

  std::size_t queued() const { return queue_.size(); }
  void Run(time_point now) override;

 private:
  struct service_state {
    token_bucket rate;
    std::uint32_t held = 0;
    std::uint32_t open = 0;
    time_point used;
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
  /** How many were open when age decided last, and for whom. */
  std::uint32_t aged_opened_ = 0;
  request_id aged_;
  std::unordered_map<std::string, service_state> services_;
  std::unordered_map<std::uint64_t, drain_state> drains_;
  time_point swept_;
};

}  // namespace hawthorndrum
