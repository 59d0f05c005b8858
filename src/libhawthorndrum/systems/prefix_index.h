/// Estimates which upstreams hold which prefix pieces in their caches.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/units.h"

namespace hawthorndrum {

/**
 * A bounded index, updated by the engines' cache events, which may be late or lost, and by this
 * daemon's own dispatches. It may have wrong entries and lack right ones; that costs time, but
 * never an answer.
 *
 * Invariant: at most kMaxPieces pieces, at most kMaxHolders holders each; the least recently
 * used piece is evicted first.
 */
class prefix_index {
 public:
  static constexpr std::size_t kMaxPieces = 65536;
  static constexpr std::size_t kMaxHolders = 8;
  static constexpr duration kMaxEntryAge = seconds(300);

  void Stored(upstream_id upstream, std::uint64_t piece, time_point now);
  void Evicted(upstream_id upstream, std::uint64_t piece);
  /** Invalidates the upstream's entries: events were lost, or the engine restarted. */
  void Forget(upstream_id upstream);

  /** Returns how many of the chain's leading pieces the upstream holds. */
  std::size_t HeldPieces(upstream_id upstream, const std::vector<std::uint64_t>& chain,
                         time_point now) const;

  /** Returns the upstreams that hold the longest known part of the chain. */
  std::vector<upstream_id> BestHolders(const std::vector<std::uint64_t>& chain,
                                       time_point now) const;

  std::size_t size() const { return pieces_.size(); }

 private:
  struct holder {
    upstream_id upstream;
    std::uint32_t epoch = 0;
    time_point last_seen;
  };
  struct piece_entry {
    std::vector<holder> holders;
    std::list<std::uint64_t>::iterator recency;
  };

  bool IsValid(const holder& one, time_point now) const;
  std::uint32_t EpochOf(upstream_id upstream) const;

  std::unordered_map<std::uint64_t, piece_entry> pieces_;
  /** Most recently used first. */
  std::list<std::uint64_t> by_recency_;
  /** The current epoch of each upstream; holders of an older epoch are invalid. */
  std::unordered_map<upstream_id, std::uint32_t> epochs_;
};

}  // namespace hawthorndrum
