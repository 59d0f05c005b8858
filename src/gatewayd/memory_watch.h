/// Tells operators when the process comes near the memory that it may use.
#pragma once

#include <cstddef>

namespace hawthorndrum {

class counter;
class event_log;
class metrics_registry;

/** What takes up memory, beside what the kernel says that the process uses. Sizes are in bytes. */
struct memory_use {
  std::size_t resident = 0;
  /** Requests and answers that flow control counts. */
  std::size_t held = 0;
  std::size_t connections = 0;
  std::size_t in_flight = 0;
};

/**
 * The platform ends a process that uses more than its limit, and such a process cannot log its
 * end. Logs when the resident memory passes three quarters of the limit, and when it is below half
 * of it again.
 */
class memory_watch {
 public:
  /** `limit` is in bytes; 0 if there is none. */
  memory_watch(std::size_t limit, event_log& log, metrics_registry& metrics);

  /** Compares the use with the limit; call it about once a second. */
  void Observe(const memory_use& use);

 private:
  std::size_t limit_;
  event_log& log_;
  counter& resident_;
  bool is_high_ = false;
};

}  // namespace hawthorndrum
