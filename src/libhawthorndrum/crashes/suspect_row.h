/// What is known of one suspect.
#pragma once

#include <optional>
#include <vector>

#include "base/units.h"
#include "crashes/crash_evidence.h"

namespace hawthorndrum {

/**
 * Invariants: losses are in the order of their times, at most kMaxLosses, one for each upstream;
 * none is older than `sound_at`.
 */
struct suspect_row {
  static constexpr std::size_t kMaxLosses = 24;
  /**
   * Calls that were open at the same time and are lost within this time count as one loss: a rack
   * or a data centre fails at once.
   */
  static constexpr duration kSameMoment = milliseconds(100);

  suspect about;
  std::vector<upstream_loss> losses;
  /** When the last answer was begun after which its upstream lived on. */
  std::optional<time_point> sound_at;
  /** When a request with it last came after it was convicted. */
  time_point asked_at;

  /** Adds the loss unless it is known, or refuted by a later answer; returns whether it did. */
  bool Add(const upstream_loss& loss);
  /** Drops the losses before the time; returns whether there were any. */
  bool SetSound(time_point begun_at);
  /** Counts the losses at other moments, without those of the upstreams in `explained`. */
  std::size_t CountLosses(const std::vector<upstream_id>& explained) const;
};

}  // namespace hawthorndrum
