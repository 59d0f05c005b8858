/// Records which requests were being answered when upstreams were lost, and which were answered.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "crashes/suspect.h"

namespace hawthorndrum {

class crash_evidence;
class fleet_table;
struct exchange;

/**
 * Invariant: keeps the last kMaxClosedAnswers answers that ended with their connection until it
 * is known whether their upstreams lived on.
 */
class crash_recorder {
 public:
  /** An upstream that goes on for this long after it began an answer was not crashed by it. */
  static constexpr duration kLivedOn = seconds(1);

  crash_recorder(const fleet_table& fleet, crash_evidence& evidence);

  /** Whether a part of the prompt, or the request, is known to crash the upstreams that answer. */
  bool CrashesUpstreams(const exchange& each, time_point now) const;
  /** Returns the logged name of the part or request that is; empty if none is. */
  std::string ConvictedSuspect(const exchange& each, time_point now) const;
  /** Records the loss of the call's upstream, unless it had lived on after the answer began. */
  void RecordCrash(const exchange& each, time_point now);
  /** Records that the upstream lived on after it began the answer. */
  void RecordLivedOn(exchange& each, time_point now);
  /** Records those answers that ended with their connection whose upstreams were heard of again. */
  void Run(time_point now);

 private:
  static constexpr std::size_t kMaxClosedAnswers = 256;

  /** An answer that ended with its connection, as it also would if the upstream had crashed. */
  struct closed_answer {
    std::vector<suspect> suspects;
    upstream_id upstream;
    time_point begun_at;
    time_point ended_at;
  };

  const fleet_table& fleet_;
  crash_evidence& evidence_;
  /** Oldest first. */
  std::deque<closed_answer> closed_answers_;
};

}  // namespace hawthorndrum
