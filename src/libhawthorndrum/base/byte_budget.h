/// The bytes that a process buffers for its callers and for other daemons.
#pragma once

#include <cstddef>

namespace hawthorndrum {

/**
 * Counts what all parts of a process buffer against one limit, and decides what else may be read.
 * What is in memory already is counted whether it fits or not; byte_claim does so.
 */
class byte_budget {
 public:
  /** `limit` is in bytes. */
  explicit byte_budget(std::size_t limit) : limit_(limit) {}

  /**
   * Returns whether a request that is still being read, of which `counted` bytes are counted, may
   * grow to `bytes`. Requests that are large leave room for small ones, and both for answers.
   */
  bool MayRead(std::size_t counted, std::size_t bytes) const;
  /** Returns whether a whole request, of which `counted` bytes are counted, may be sent on. */
  bool MaySend(std::size_t counted, std::size_t body_bytes) const;

  void Add(std::size_t bytes) { held_ += bytes; }
  void Remove(std::size_t bytes) { held_ -= bytes; }
  std::size_t held() const { return held_; }
  std::size_t limit() const { return limit_; }

 private:
  std::size_t limit_;
  std::size_t held_ = 0;
};

}  // namespace hawthorndrum
