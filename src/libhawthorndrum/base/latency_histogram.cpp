/// Defines the bins and fills them.
#include "base/latency_histogram.h"

#include <algorithm>
#include <boost/histogram.hpp>

namespace hawthorndrum {

namespace bh = boost::histogram;

namespace {
constexpr unsigned kBins = 56;
constexpr double kShortestSeconds = 1e-4;
constexpr double kLongestSeconds = 1e3;
using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
}  // namespace

struct latency_histogram::bins {
  decltype(bh::make_histogram(log_axis(kBins, kShortestSeconds, kLongestSeconds))) histogram =
      bh::make_histogram(log_axis(kBins, kShortestSeconds, kLongestSeconds));
};

latency_histogram::latency_histogram() : bins_(std::make_unique<bins>()) {}

latency_histogram::~latency_histogram() = default;

void latency_histogram::Record(duration time) {
  bins_->histogram(std::max(ToSeconds(time), kShortestSeconds));
  count_ += 1;
  sum_ += time;
}

std::vector<histogram_bin> latency_histogram::Bins() const {
  std::vector<histogram_bin> result;
  std::uint64_t cumulative = 0;
  for (auto&& bin : bh::indexed(bins_->histogram)) {
    cumulative += static_cast<std::uint64_t>(*bin);
    result.push_back({bin.bin().upper(), cumulative});
  }
  return result;
}

}  // namespace hawthorndrum
