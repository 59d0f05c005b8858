/// How much a daemon holds for callers and upstreams that read slowly.
#pragma once

#include <cstddef>

namespace hawthorndrum {

/** Sizes are in bytes. */
struct flow_limits {
  /** Unsent bytes of one answer beyond which its upstream is not read any more. */
  std::size_t pause_above = 256 * 1024;
  /** Unsent bytes of one answer at which its upstream is read again. */
  std::size_t resume_below = 64 * 1024;
  /** The same bound as pause_above while all answers together hold more than half of `total`. */
  std::size_t pause_above_when_short = 16 * 1024;
  /** Requests and answers held at once, of all callers; no new request is taken beyond it. */
  std::size_t total = 64 * 1024 * 1024;

  /** Returns the limits of a process that may use that much memory; 0 if it is not known. */
  static flow_limits ForMemory(std::size_t bytes);
};

}  // namespace hawthorndrum
