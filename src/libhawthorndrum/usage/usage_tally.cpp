/// Adds and merges counts.
#include "usage/usage_tally.h"

#include "usage/usage_message.h"

namespace hawthorndrum {

void usage_tally::Add(incarnation_id counter, std::uint64_t window, std::string_view team) {
  counted_window& counted = windows_[window][counter];
  const auto found = counted.counts.find(team);
  if (found != counted.counts.end()) {
    found->second += 1;
  } else {
    counted.counts.emplace(team, 1);
  }
  counted.total += 1;
}

void usage_tally::Merge(const usage_counts_message& message) {
  counted_window& counted = windows_[message.window][message.counter];
  for (const auto& [team, count] : message.counts) {
    std::uint64_t& kept = counted.counts[team];
    if (count <= kept) continue;
    counted.total += count - kept;
    kept = count;
  }
}

const counted_window* usage_tally::Find(incarnation_id counter, std::uint64_t window) const {
  const auto counters = windows_.find(window);
  if (counters == windows_.end()) return nullptr;
  const auto found = counters->second.find(counter);
  return found == counters->second.end() ? nullptr : &found->second;
}

std::map<std::string, std::uint64_t> usage_tally::Sum(std::uint64_t window) const {
  std::map<std::string, std::uint64_t> sum;
  const auto counters = windows_.find(window);
  if (counters == windows_.end()) return sum;
  for (const auto& [counter, counted] : counters->second) {
    for (const auto& [team, count] : counted.counts) sum[team] += count;
  }
  return sum;
}

void usage_tally::DropBefore(std::uint64_t window) {
  windows_.erase(windows_.begin(), windows_.lower_bound(window));
}

}  // namespace hawthorndrum
