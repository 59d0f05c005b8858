/// Computes backoff delays.
#include "systems/backoff.h"

#include <algorithm>

#include "ports/random_source.h"

namespace hawthorndrum {

namespace {
constexpr std::uint32_t kMaxDoublings = 16;
}  // namespace

duration ExponentialDelay(std::uint32_t failures, duration first, duration longest) {
  return std::min(longest, first * (1U << std::min(failures, kMaxDoublings)));
}

duration JitteredDelay(std::uint32_t failures, duration first, duration longest,
                       random_source& random) {
  const duration whole = ExponentialDelay(failures, first, longest);
  const auto half = static_cast<std::uint64_t>(whole.count()) / 2;
  return duration(static_cast<duration::rep>(half + random.Below(half + 1)));
}

}  // namespace hawthorndrum
