/// Where a request is to run.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/units.h"

namespace hawthorndrum {

struct fleet_upstream;
struct gateway_service;
struct prompt;

/** A request that wants a place. */
struct placement_query {
  const gateway_service* service = nullptr;
  /** Null for plain services. */
  const prompt* asked = nullptr;
  /** Upstreams that the request was sent to before. */
  const std::vector<upstream_id>* tried = nullptr;
  /** Whether failures of the upstream are final, as for requests that must not run twice. */
  bool failure_is_final = false;
  /** The prompt was read; only tokens are to be generated. */
  bool is_read = false;
  /** The engine that read it; null when it is not known any more. */
  const fleet_upstream* read_at = nullptr;
  /** Whether the prompt may be read at one engine and the tokens generated at another. */
  bool may_split = true;
  /** The longest pause between events that is on time; zero when none is given. */
  duration longest_pause{0};
  /** Until the caller needs its answer. */
  duration time_left{0};
};

/**
 * A place. Without `reads_at` the upstream `runs_at` reads the prompt itself.
 */
struct placement {
  upstream_id runs_at;
  upstream_id reads_at;
  /** Prompt tokens that must be read there. */
  std::uint64_t unread_tokens = 0;
  /** Expected time to the first token, or to the answer of a plain service. */
  duration expected{0};
};

/** Why there is no place, and when there may be one. */
struct no_place {
  std::string_view reason;
  duration retry_after{0};
};

}  // namespace hawthorndrum
