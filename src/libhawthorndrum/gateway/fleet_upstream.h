/// One upstream as this daemon sees it: its entry, the work it has and how it fared lately.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "base/ids.h"
#include "base/units.h"
#include "gateway/prompt_cache.h"
#include "gateway/reach_state.h"
#include "gateway/upstream_entry.h"

namespace hawthorndrum {

/** Work at an upstream that has not ended. */
struct upstream_work {
  std::uint32_t running = 0;
  /** Prompt tokens that were sent and whose first output token was not seen. */
  std::uint64_t unread_tokens = 0;
  /** Tokens of KV cache that the running requests may need. */
  std::uint64_t memory_tokens = 0;
  /** Tokens of KV cache that are on their way there from engines that read them. */
  std::uint64_t fetching_tokens = 0;

  upstream_work& operator+=(const upstream_work& more) {
    running += more.running;
    unread_tokens += more.unread_tokens;
    memory_tokens += more.memory_tokens;
    fetching_tokens += more.fetching_tokens;
    return *this;
  }
  /** Takes off what is there of it; for sums whose parts may be of different ages. */
  void TakeOff(const upstream_work& less) {
    running -= std::min(running, less.running);
    unread_tokens -= std::min(unread_tokens, less.unread_tokens);
    memory_tokens -= std::min(memory_tokens, less.memory_tokens);
    fetching_tokens -= std::min(fetching_tokens, less.fetching_tokens);
  }
  upstream_work& operator-=(const upstream_work& less) {
    running -= less.running;
    unread_tokens -= less.unread_tokens;
    memory_tokens -= less.memory_tokens;
    fetching_tokens -= less.fetching_tokens;
    return *this;
  }
};

struct fleet_upstream {
  upstream_id id;
  upstream_entry entry;
  upstream_work own;
  /** As the other daemons last said; see peer_board. */
  upstream_work peers;
  prompt_cache cache;
  reach_state reach;

  /** No new work goes there until then, as long as another upstream can take it. */
  time_point avoid_until;
  /** This daemon is changing its stage until then. */
  time_point changes_until;
  /** Failures since the last sign of life. */
  int failures = 0;
  /** When it last sent a byte. */
  time_point alive_at;
  /** Share of answers that were failures, of late. */
  double failure_share = 0;
  /** Calls that it refused since it last took one, and until when it is not asked again. */
  int refusals = 0;
  time_point refuses_until;
  /** Share of calls that it refused, of late. */
  double refusal_share = 0;
  /** How much longer it takes than expected, of late; at least 1. */
  double slowness = 1;
  time_point slowness_at;
  /** Mean time of a plain service's answer, of late. */
  duration answer_time{0};
  /** Set when its entry was missing while the host list could not be trusted. */
  std::optional<time_point> gone_at;

  upstream_work all_work() const {
    upstream_work sum = own;
    sum += peers;
    return sum;
  }
  bool takes_work(time_point now) const { return !entry.leaving && !(gone_at && now >= *gone_at); }
};

}  // namespace hawthorndrum
