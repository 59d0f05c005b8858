/// Decides when an upstream is not read because its caller reads slowly, and when a daemon holds
/// too much to take another request.
#pragma once

#include <cstddef>
#include <memory>
#include <unordered_map>

#include "base/byte_budget.h"
#include "base/byte_claim.h"
#include "base/ids.h"
#include "flow/flow_limits.h"

namespace hawthorndrum {

struct http_request;

/**
 * Short answers are read out at once, since an upstream cuts off an answer that stays unread; long
 * ones are read at their caller's pace.
 *
 * Its budget is shared with the connections that requests are read from and answers written to.
 */
class flow_control {
 public:
  /** Without a budget it has one of its own, of `limits.total` bytes. */
  explicit flow_control(const flow_limits& limits, std::shared_ptr<byte_budget> budget = nullptr);

  /** Counts the request's body while the request lives, unless its connection did so already. */
  void Hold(http_request& request) const;
  /** Sets what is buffered of a request's answer. */
  void SetHeld(request_id request, std::size_t bytes);
  void Forget(request_id request) { SetHeld(request, 0); }
  /** Returns whether the request may be taken. */
  bool MayTake(const http_request& request) const;
  /** Returns whether a request may be taken whose body, of this size, is not counted yet. */
  bool MayTake(std::size_t body_bytes) const { return budget_->MaySend(0, body_bytes); }
  /**
   * Returns whether that much of one answer may be buffered. While all parts of the process hold
   * more than the limit, no answer may have more than an equal share of it.
   */
  bool MayBuffer(std::size_t answer_bytes) const;
  /** Returns whether the upstream is to be paused, given the answer's unsent bytes. */
  bool IsPaused(bool paused_before, std::size_t unsent_bytes) const;

  std::size_t held() const { return budget_->held(); }

 private:
  flow_limits limits_;
  std::shared_ptr<byte_budget> budget_;
  /** What is buffered of each answer. */
  std::unordered_map<request_id, byte_claim> answers_;
};

}  // namespace hawthorndrum
