/// A route: which requests match it, how they are handled and which services they go to.
#pragma once

#include <string>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

/** How a request is answered, and whether it may be repeated. */
enum class route_kind {
  /** Idempotent; the answer is forwarded once it is complete. */
  kSafe,
  /** Runs at most once for each attempt of the caller. */
  kUnsafe,
  /** The answer is a series of events that are forwarded as they arrive. */
  kStream,
};

struct weighted_service {
  std::string service;
  double weight = 1;
};

/**
 * Invariants: path_prefix begins and ends with a slash; targets is not empty.
 */
struct route {
  std::string name;
  std::string host;
  std::string path_prefix;
  route_kind kind = route_kind::kUnsafe;
  /** Maximum time until the caller gets its final answer. */
  duration timeout = seconds(5);
  /** Latency objective of the answer; for streams, of the first event. */
  duration objective = seconds(1);
  /** The longest pause between events that meets the objective; zero when none is set. */
  duration longest_pause{0};
  /** Maximum number of upstreams at which one request may run. */
  int attempts = 1;
  /** 0 is the most urgent. */
  int priority = 0;
  /** Whether a stream may resume at another upstream after the last forwarded event. */
  bool resumable = false;
  /** Whether callers need no key. */
  bool open_to_all = false;
  std::vector<weighted_service> targets;

  /** Returns whether a request may run more than once. */
  bool is_idempotent() const {
    return kind == route_kind::kSafe || (kind == route_kind::kStream && resumable);
  }
};

}  // namespace hawthorndrum
