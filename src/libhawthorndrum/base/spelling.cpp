/// Finds the closest word by edit distance.
#include "base/spelling.h"

#include <algorithm>
#include <vector>

namespace hawthorndrum {
namespace {

constexpr std::size_t kLongestWord = 64;

}  // namespace

std::size_t EditDistance(std::string_view a, std::string_view b) {
  const std::size_t width = b.size() + 1;
  std::vector<std::size_t> cost((a.size() + 1) * width);
  for (std::size_t i = 0; i <= a.size(); ++i) cost[i * width] = i;
  for (std::size_t j = 0; j <= b.size(); ++j) cost[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t change = a[i - 1] == b[j - 1] ? 0 : 1;
      std::size_t best = std::min(cost[(i - 1) * width + j], cost[i * width + j - 1]) + 1;
      best = std::min(best, cost[(i - 1) * width + j - 1] + change);
      const bool swapped = i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1];
      if (swapped) best = std::min(best, cost[(i - 2) * width + j - 2] + 1);
      cost[i * width + j] = best;
    }
  }
  return cost.back();
}

std::string SuggestSpelling(std::string_view word, boost::span<const std::string_view> known) {
  if (word.empty() || word.size() > kLongestWord) return {};
  std::size_t best_distance = std::max<std::size_t>(1, word.size() / 3) + 1;
  std::string_view best;
  for (const std::string_view candidate : known) {
    const std::size_t distance = EditDistance(word, candidate);
    if (distance >= best_distance) continue;
    best_distance = distance;
    best = candidate;
  }
  if (best.empty()) return {};
  return "did you mean \"" + std::string(best) + "\"?";
}

}  // namespace hawthorndrum
