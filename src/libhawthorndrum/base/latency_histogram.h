/// A histogram of times, logarithmic from 0.1 ms to 1000 s.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

/** One bin: how many times were at most `upper`, counted from the first bin on. */
struct histogram_bin {
  double upper_seconds = 0;
  std::uint64_t cumulative = 0;
};

/**
 * Counts times in bins by Boost.Histogram.
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
  /** The bins, the last one without an upper end left out. */
  std::vector<histogram_bin> Bins() const;

 private:
  struct bins;
  std::unique_ptr<bins> bins_;
  std::uint64_t count_ = 0;
  duration sum_{0};
};

}  // namespace hawthorndrum
