/// Accounts for held bytes and compares them with the limits.
#include "flow/flow_control.h"

#include <algorithm>
#include <utility>

#include "base/http_message.h"

namespace hawthorndrum {

namespace {

/** The share of the process's memory that requests and answers may take. */
constexpr std::size_t kMemoryDivisor = 3;

}  // namespace

flow_limits flow_limits::ForMemory(std::size_t bytes) {
  flow_limits limits;
  if (bytes > 0) limits.total = std::min(limits.total, bytes / kMemoryDivisor);
  return limits;
}

flow_control::flow_control(const flow_limits& limits, std::shared_ptr<byte_budget> budget)
    : limits_(limits),
      budget_(budget ? std::move(budget) : std::make_shared<byte_budget>(limits.total)) {}

void flow_control::Hold(http_request& request) const {
  if (request.held.bytes() >= request.body.size()) return;
  request.held = byte_claim(budget_);
  request.held.Set(request.body.size());
}

void flow_control::SetHeld(request_id request, std::size_t bytes) {
  if (bytes == 0) {
    answers_.erase(request);
    return;
  }
  answers_.try_emplace(request, budget_).first->second.Set(bytes);
}

bool flow_control::MayTake(const http_request& request) const {
  return budget_->MaySend(request.held.bytes(), request.body.size());
}

bool flow_control::MayBuffer(std::size_t answer_bytes) const {
  if (MayTake(0)) return true;
  return answer_bytes <= limits_.total / std::max<std::size_t>(1, answers_.size());
}

bool flow_control::IsPaused(bool paused_before, std::size_t unsent_bytes) const {
  const bool is_short = held() > limits_.total / 2;
  const std::size_t most = is_short ? limits_.pause_above_when_short : limits_.pause_above;
  if (unsent_bytes > most) return true;
  return paused_before && unsent_bytes > std::min(limits_.resume_below, most / 2);
}

}  // namespace hawthorndrum
