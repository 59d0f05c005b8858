/// A histogram of durations with logarithmic bins from 0.1 ms to 1000 s.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

/** One bin: its upper bound, and the number of durations in it and in all bins before it. */
struct histogram_bin {
  double upper_seconds = 0;
  std::uint64_t cumulative = 0;
};

/**
 * Counts durations in bins with Boost.Histogram.
 */
class latency_histogram {
 public:
  latency_histogram();
  ~latency_histogram();
  latency_histogram(const latency_histogram&) = delete;
  latency_histogram& operator=(const latency_histogram&) = delete;

  void Record(duration time);

  std::uint64_t count() const { return count_; }
  duration sum() const { return sum_; }
  /** Returns the bins in ascending order, without the overflow bin. */
  std::vector<histogram_bin> Bins() const;

 private:
  struct bins;
  std::unique_ptr<bins> bins_;
  std::uint64_t count_ = 0;
  duration sum_{0};
};

}  // namespace hawthorndrum
