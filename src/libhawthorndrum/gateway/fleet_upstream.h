/// This daemon's view of one upstream: its entry, its load and its recent failures and latency.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "base/ids.h"
#include "base/units.h"
#include "gateway/prompt_cache.h"
#include "gateway/reachability_state.h"
#include "gateway/upstream_entry.h"
#include "gateway/upstream_statements.h"

namespace hawthorndrum {

/** Unfinished work at an upstream. */
struct upstream_work {
  std::uint32_t running = 0;
  /** Prompt tokens of requests that have not produced their first output token. */
  std::uint64_t unread_tokens = 0;
  /** Tokens of KV cache that the running requests may need. */
  std::uint64_t memory_tokens = 0;
  /** Tokens of KV cache in transfer from the engines that prefilled them. */
  std::uint64_t fetching_tokens = 0;

  upstream_work& operator+=(const upstream_work& more) {
    running += more.running;
    unread_tokens += more.unread_tokens;
    memory_tokens += more.memory_tokens;
    fetching_tokens += more.fetching_tokens;
    return *this;
  }
  /** Subtracts down to zero at most; for sums whose parts may be of different ages. */
  void SubtractClamped(const upstream_work& less) {
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
  /** Its service and software version. */
  software_build build;
  upstream_work own;
  /** Sum of the other daemons' last reports; see peer_load_table. */
  upstream_work peers;
  prompt_cache cache;
  reachability_state reachability;
  /** What this instance said about itself; no entry withdraws it. */
  upstream_statements said;

  /** Until then, new work goes there only if no other upstream can take it. */
  time_point avoid_until;
  /** This daemon is changing the upstream's stage until then. */
  time_point changes_until;
  /** Failures since the last answer. */
  int failures = 0;
  /** When it last sent a byte to this daemon or, according to a notice, to another one. */
  time_point last_active_at;
  /** When it last sent a byte to this daemon. */
  time_point heard_here_at;
  /** When it last sent a byte to another daemon, according to that daemon's notice. */
  time_point peers_heard_at;
  /** Moving average of the share of failed answers. */
  double failure_share = 0;
  /** Calls refused since the last accepted one, and until when no calls are sent. */
  int refusals = 0;
  time_point refuses_until;
  /** Moving average of the share of refused calls. */
  double refusal_share = 0;
  /** Moving average of actual to expected prefill time; at least 1. */
  double slowness = 1;
  time_point slowness_at;
  /** Moving average of a plain service's answer time. */
  duration answer_time{0};
  /**
   * When it stops getting new work because its entry was removed; after an outage of the store,
   * this is later than the removal.
   */
  std::optional<time_point> gone_at;

  upstream_work all_work() const {
    upstream_work sum = own;
    sum += peers;
    return sum;
  }
  bool is_leaving() const { return entry.leaving || said.leaving_since.has_value(); }
  bool takes_work(time_point now) const { return !is_leaving() && !(gone_at && now >= *gone_at); }
  /** Whether a call may be sent there now. */
  bool accepts_calls(time_point now) const {
    return takes_work(now) && !reachability.is_lost && now >= refuses_until &&
           !said.WantsNothing(now) && said.limit.Allows(last_active_at, now);
  }
};

}  // namespace hawthorndrum
