/// What one instance of an upstream has said about itself in its answers to this daemon.
#pragma once

#include <optional>

#include "base/units.h"
#include "gateway/call_limit.h"

namespace hawthorndrum {

/**
 * Takes precedence over the host list, and is valid until the instance has ended.
 *
 * Invariant: `next_call` is not before `wants_nothing_until`.
 */
struct upstream_statements {
  /** When it first said that it finishes its requests and accepts no new ones. */
  std::optional<time_point> leaving_since;

  /** When it last asked for time without requests, and the latest end that it asked for. */
  time_point asked_for_time_at;
  time_point wants_nothing_until;
  /** The earliest time of the next call; set from then on until a later call is accepted. */
  std::optional<time_point> next_call;
  /** Whether it asked for a time that could not be read. */
  bool asked_unreadably = false;

  /** The requests a second that it takes from all daemons together. */
  call_limit limit;
  /** When it last said to this daemon itself that it has a limit, or has none any more. */
  std::optional<time_point> limit_heard_at;
  bool limited_unreadably = false;

  bool WantsNothing(time_point now) const { return next_call && now < *next_call; }
  bool IsWorthKeeping(time_point now) const {
    return leaving_since || limit.is_set() || WantsNothing(now);
  }
};

}  // namespace hawthorndrum
