/// Estimates which upstreams hold which prefix pieces in their caches.
#include "systems/prefix_index.h"

#include <algorithm>

namespace hawthorndrum {

void prefix_index::Stored(upstream_id upstream, std::uint64_t piece, time_point now) {
  auto [found, added] = pieces_.try_emplace(piece);
  piece_entry& entry = found->second;
  if (added) {
    by_recency_.push_front(piece);
    entry.recency = by_recency_.begin();
  } else {
    by_recency_.splice(by_recency_.begin(), by_recency_, entry.recency);
  }
  const holder latest{upstream, EpochOf(upstream), now};
  const auto same = std::find_if(entry.holders.begin(), entry.holders.end(),
                                 [&](const holder& one) { return one.upstream == upstream; });
  if (same != entry.holders.end()) {
    *same = latest;
  } else if (entry.holders.size() < kMaxHolders) {
    entry.holders.push_back(latest);
  } else {
    *std::min_element(entry.holders.begin(), entry.holders.end(),
                      [](const holder& a, const holder& b) { return a.last_seen < b.last_seen; }) =
        latest;
  }
  if (pieces_.size() <= kMaxPieces) return;
  pieces_.erase(by_recency_.back());
  by_recency_.pop_back();
}

void prefix_index::Evicted(upstream_id upstream, std::uint64_t piece) {
  const auto found = pieces_.find(piece);
  if (found == pieces_.end()) return;
  auto& holders = found->second.holders;
  holders.erase(std::remove_if(holders.begin(), holders.end(),
                               [&](const holder& one) { return one.upstream == upstream; }),
                holders.end());
  if (!holders.empty()) return;
  by_recency_.erase(found->second.recency);
  pieces_.erase(found);
}

void prefix_index::Forget(upstream_id upstream) { epochs_[upstream] += 1; }

std::size_t prefix_index::HeldPieces(upstream_id upstream, const std::vector<std::uint64_t>& chain,
                                     time_point now) const {
  std::size_t held = 0;
  for (const std::uint64_t piece : chain) {
    const auto found = pieces_.find(piece);
    if (found == pieces_.end()) break;
    const auto& holders = found->second.holders;
    const bool holds = std::any_of(holders.begin(), holders.end(), [&](const holder& one) {
      return one.upstream == upstream && IsValid(one, now);
    });
    if (!holds) break;
    held += 1;
  }
  return held;
}

std::vector<upstream_id> prefix_index::BestHolders(const std::vector<std::uint64_t>& chain,
                                                   time_point now) const {
  std::vector<upstream_id> best;
  for (std::size_t i = chain.size(); i-- > 0 && best.empty();) {
    const auto found = pieces_.find(chain[i]);
    if (found == pieces_.end()) continue;
    for (const holder& one : found->second.holders) {
      if (IsValid(one, now)) best.push_back(one.upstream);
    }
  }
  return best;
}

bool prefix_index::IsValid(const holder& one, time_point now) const {
  return one.epoch == EpochOf(one.upstream) && now - one.last_seen <= kMaxEntryAge;
}

std::uint32_t prefix_index::EpochOf(upstream_id upstream) const {
  const auto found = epochs_.find(upstream);
  return found == epochs_.end() ? 0 : found->second;
}

}  // namespace hawthorndrum
