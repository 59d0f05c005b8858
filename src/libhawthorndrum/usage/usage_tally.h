/// The counts of requests that began, by window, daemon and team.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/ids.h"

namespace hawthorndrum {

struct usage_counts_message;

/** What one daemon counted in one window. */
struct counted_window {
  std::map<std::string, std::uint64_t, std::less<>> counts;
  /** The sum of the counts. */
  std::uint64_t total = 0;
};

/**
 * Counts only grow: a message that is repeated, late or lost changes nothing that the next one does
 * not make good.
 */
class usage_tally {
 public:
  using by_counter = std::map<incarnation_id, counted_window>;

  void Add(incarnation_id counter, std::uint64_t window, std::string_view team);
  void Merge(const usage_counts_message& message);
  /** Returns what that daemon counted in that window, or nothing. */
  const counted_window* Find(incarnation_id counter, std::uint64_t window) const;
  std::map<std::string, std::uint64_t> Sum(std::uint64_t window) const;
  void DropBefore(std::uint64_t window);

  const std::map<std::uint64_t, by_counter>& windows() const { return windows_; }

 private:
  std::map<std::uint64_t, by_counter> windows_;
};

}  // namespace hawthorndrum
