/// Recording and lookup of shared parts.
#include "gateway/prompt_cache.h"

#include <algorithm>

namespace hawthorndrum {

void prompt_cache::RecordPrompt(const prompt& read, time_point now) {
  for (std::size_t i = 0; i + 1 < read.parts.size(); ++i) used_[read.parts[i].id] = now;
  if (used_.size() > kMaxParts) DropOldest();
}

std::uint64_t prompt_cache::HeldTokens(const prompt& asked, time_point now) const {
  std::uint64_t held = 0;
  for (std::size_t i = 0; i + 1 < asked.parts.size(); ++i) {
    const auto found = used_.find(asked.parts[i].id);
    if (found == used_.end() || now - found->second > kAssumedRetention) break;
    held += asked.parts[i].tokens;
  }
  return held;
}

void prompt_cache::DropOldest() {
  // Evicts half of the parts at once, so that the search for the oldest is rare.
  std::vector<time_point> times;
  times.reserve(used_.size());
  for (const auto& [part, used] : used_) times.push_back(used);
  std::nth_element(times.begin(), times.begin() + times.size() / 2, times.end());
  const time_point middle = times[times.size() / 2];
  for (auto it = used_.begin(); it != used_.end();) {
    it = it->second <= middle ? used_.erase(it) : std::next(it);
  }
}

}  // namespace hawthorndrum
