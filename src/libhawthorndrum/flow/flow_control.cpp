/// Accounts for held bytes and compares them with the limits.
#include "flow/flow_control.h"

#include <algorithm>

namespace hawthorndrum {

namespace {

/** The share of the process's memory that requests and answers may take. */
constexpr std::size_t kMemoryDivisor = 3;
/** A body is held twice while it is written to an upstream. */
constexpr std::size_t kCopiesOfBody = 2;

}  // namespace

flow_limits flow_limits::ForMemory(std::size_t bytes) {
  flow_limits limits;
  if (bytes > 0) limits.total = std::min(limits.total, bytes / kMemoryDivisor);
  return limits;
}

void flow_control::SetHeld(request_id request, std::size_t bytes) {
  if (bytes == 0) {
    const auto found = requests_.find(request);
    if (found == requests_.end()) return;
    held_ -= found->second;
    requests_.erase(found);
    return;
  }
  std::size_t& held = requests_[request];
  held_ += bytes;
  held_ -= held;
  held = bytes;
}

bool flow_control::MayTake(std::size_t body_bytes) const {
  return held_ + kCopiesOfBody * body_bytes <= limits_.total;
}

bool flow_control::IsPaused(bool paused_before, std::size_t unsent_bytes) const {
  const bool is_short = held_ > limits_.total / 2;
  const std::size_t most = is_short ? limits_.pause_above_when_short : limits_.pause_above;
  if (unsent_bytes > most) return true;
  return paused_before && unsent_bytes > std::min(limits_.resume_below, most / 2);
}

}  // namespace hawthorndrum
