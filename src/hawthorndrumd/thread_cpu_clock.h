/// CPU time of the calling thread, read from CLOCK_THREAD_CPUTIME_ID.
#pragma once

#include <ctime>

#include "ports/cpu_clock.h"

namespace hawthorndrum {

class thread_cpu_clock : public cpu_clock {
 public:
  std::uint64_t ThreadNanoseconds() const override {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<std::uint64_t>(now.tv_sec) * 1000000000ULL +
           static_cast<std::uint64_t>(now.tv_nsec);
  }
};

}  // namespace hawthorndrum
