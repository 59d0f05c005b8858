/// A route: which requests it takes, how they may be handled and where they go.
#pragma once

#include <string>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

/** What may be done with a request more than once. */
enum class route_kind {
  /** Idempotent; the answer is handed on whole. */
  kSafe,
  /** Runs at most once for each attempt of the caller. */
  kUnsafe,
  /** The answer is a series of events that are handed on as they come. */
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
  /** The longest time that a caller is kept waiting for the final answer. */
  duration timeout = seconds(5);
  /** The time within which an answer is on time; for streams, the first event. */
  duration objective = seconds(1);
  /** The longest pause between events that is on time; zero when none is given. */
  duration longest_pause{0};
  /** The most upstreams at which one request may run. */
  int attempts = 1;
  /** 0 is the most urgent. */
  int priority = 0;
  /** Whether a stream may go on at another upstream after the last event that was handed on. */
  bool resumable = false;
  std::vector<weighted_service> targets;

  /** Whether a second run does no harm. */
  bool is_idempotent() const {
    return kind == route_kind::kSafe || (kind == route_kind::kStream && resumable);
  }
};

}  // namespace hawthorndrum
