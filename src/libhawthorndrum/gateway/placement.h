/// Queries for upstreams and their results.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "crossing/crossing_reason.h"

namespace hawthorndrum {

struct fleet_upstream;
struct gateway_service;
struct prompt;

/** A request to be placed. */
struct placement_query {
  const gateway_service* service = nullptr;
  /** Null for plain services. */
  const prompt* asked = nullptr;
  /** Upstreams that the request was sent to before. */
  const std::vector<upstream_id>* tried = nullptr;
  /** Only upstreams of this build may run the request; none if all may. */
  software_build build;
  /** Whether a failure is final, as for requests that must not run twice. */
  bool failure_is_final = false;
  /** Whether the prompt is already prefilled, so that only decode is left. */
  bool is_prefilled = false;
  /** The engine that prefilled it; null when it is no longer known. */
  const fleet_upstream* prefilled_at = nullptr;
  /** Whether prefill and decode may run at different engines. */
  bool may_split = true;
  /** Time until the first event that meets the objective; zero when a late answer is as good. */
  duration objective{0};
  /** The longest pause between events that meets the objective; zero when none is set. */
  duration longest_pause{0};
  /** Size of a call, and the usual size of its answer; bytes between data centres are billed. */
  double request_bytes = 0;
  double answer_bytes = 0;
  /** Time until the caller's deadline. */
  duration time_left{0};
};

/**
 * The chosen upstreams. Without `prefills_at`, the upstream `runs_at` prefills the prompt itself.
 */
struct placement {
  upstream_id runs_at;
  upstream_id prefills_at;
  /** Prompt tokens that must be prefilled, at `prefills_at` if it is set. */
  std::uint64_t unread_tokens = 0;
  /** Expected time to the first token, or to the answer of a plain service. */
  duration expected{0};
  /** Whether and why the request leaves the data centre. */
  crossing_reason leaves = crossing_reason::kNone;
  /** How much of `expected` is the wait for other requests; for engines only. */
  duration wait{0};
};

/** Why no upstream was chosen, and when to try again. */
struct placement_failure {
  std::string_view reason;
  duration retry_after{0};
  /** The upstream that can be tried first, if all have asked for time. */
  upstream_id first_wanted{};
};

}  // namespace hawthorndrum
