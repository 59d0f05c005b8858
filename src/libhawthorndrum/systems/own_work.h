/// Work that this daemon has sent to each upstream and that is still in flight.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "tables/upstream_table.h"

namespace hawthorndrum {

/**
 * Tracks this daemon's own work, which corrects load reports that lag, and the recent error of its
 * estimates of each upstream. Writes the own counts in the upstream rows.
 */
class own_work {
 public:
  explicit own_work(upstream_table& upstreams);

  void Sent(upstream_id upstream, attempt_id attempt, std::uint64_t prefill_tokens, time_point now);
  /**
   * Records that the first byte of the answer arrived, `late_by` after it was expected (negative:
   * early).
   */
  void Started(upstream_id upstream, attempt_id attempt, duration late_by, time_point now);
  /** Records that a further token arrived, `gap` after the one before it. */
  void Token(upstream_id upstream, duration gap, time_point now);
  /** Records that the attempt has ended, with any result. */
  void Ended(upstream_id upstream, attempt_id attempt);

  /** Returns the prefill tokens sent after `since` whose answer has not begun. */
  std::uint64_t WaitingTokens(upstream_id upstream, time_point since) const;
  /** Returns the number of attempts sent after `since` that are still open. */
  std::uint32_t OpenSince(upstream_id upstream, time_point since) const;
  /** Returns how late first tokens recently arrived there, decayed with time. */
  duration Lateness(upstream_id upstream, time_point now) const;
  /** Returns the recent time between tokens there; 0 if no token arrived recently. */
  duration TokenGap(upstream_id upstream, time_point now) const;

 private:
  struct entry {
    attempt_id attempt;
    time_point sent;
    std::uint64_t prefill_tokens = 0;
    bool started = false;
  };
  struct upstream_work {
    std::vector<entry> open;
    double lateness_seconds = 0;
    time_point lateness_time;
    double token_gap_seconds = 0;
    time_point token_time;
  };

  void UpdateRow(upstream_id upstream, const upstream_work& work);

  upstream_table& upstreams_;
  std::unordered_map<upstream_id, upstream_work> work_;
};

}  // namespace hawthorndrum
