/// The streams whose origin this daemon was told.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/units.h"
#include "origins/stream_origin.h"

namespace hawthorndrum {

/**
 * Forgets a stream kLifetime after it was last recorded, and the oldest ones beyond kMaxStreams.
 *
 * Invariants: a stream keeps the build that was recorded first; order_ has one entry for each time
 * that a stream was recorded, oldest first, and at least the last one of each stream in streams_.
 */
class stream_origin_table {
 public:
  /** Longer than callers try to resume a stream. */
  static constexpr duration kLifetime = seconds(30);
  static constexpr std::size_t kMaxStreams = 16384;

  void Record(const stream_origin& origin, time_point now);
  std::optional<software_build> Find(stream_key key, time_point now) const;
  /** Returns all streams that are remembered. */
  std::vector<stream_origin> All() const;
  std::size_t size() const { return streams_.size(); }

 private:
  struct row {
    software_build build;
    time_point recorded_at;
  };
  struct order_entry {
    stream_key key;
    time_point recorded_at;
  };

  void Forget(time_point now);

  std::unordered_map<stream_key, row> streams_;
  std::deque<order_entry> order_;
};

}  // namespace hawthorndrum
