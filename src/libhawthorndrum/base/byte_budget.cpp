/// Decides what else a process may read.
#include "base/byte_budget.h"

namespace hawthorndrum {

namespace {

/** A body is held twice while it is written to an upstream. */
constexpr std::size_t kCopiesOfBody = 2;
/** A request beyond this size is a large one. */
constexpr std::size_t kSmallBytes = 64 * 1024;
/** The part of the limit that requests leave free while they are read. */
constexpr std::size_t kLargeLeaveDivisor = 4;
constexpr std::size_t kSmallLeaveDivisor = 8;

}  // namespace

bool byte_budget::MayRead(std::size_t counted, std::size_t bytes) const {
  if (bytes > limit_ / kCopiesOfBody) return false;
  const std::size_t divisor = bytes > kSmallBytes ? kLargeLeaveDivisor : kSmallLeaveDivisor;
  return held_ - counted + bytes <= limit_ - limit_ / divisor;
}

bool byte_budget::MaySend(std::size_t counted, std::size_t body_bytes) const {
  if (body_bytes > limit_ / kCopiesOfBody) return false;
  return held_ - counted + kCopiesOfBody * body_bytes <= limit_;
}

}  // namespace hawthorndrum
