/// Dependencies and limits that the writers of all buckets share.
#pragma once

#include "ports/object_store.h"
#include "systems/claim_change.h"

namespace hawthorndrum {

class clock;
class metrics_registry;
class random_source;

/** Receives one result for each change that was not withdrawn. */
class claim_result_listener {
 public:
  virtual ~claim_result_listener() = default;
  virtual void OnClaimResult(const claim_result& result) = 0;
};

struct claim_commit_limits {
  claim_bucket_limits bucket;
  /** A bucket above this size moves done records into its archive. */
  std::size_t archive_above = 32 * 1024;
  /** The least time between two writes of a bucket, so that changes are batched under load. */
  duration commit_interval = milliseconds(20);
  /** How long settles may wait to be written together with a claim. */
  duration settle_delay = milliseconds(250);
  duration call_timeout = seconds(2);
  duration first_backoff = milliseconds(20);
  duration longest_backoff = milliseconds(250);
  /** The delay before a failed move is tried again. */
  duration move_retry = seconds(1);
  /** The length of an epoch; see claim_bucket. */
  duration epoch_length = std::chrono::hours(1);
};

struct claim_commit_context {
  object_store& store;
  const clock& time;
  random_source& random;
  metrics_registry& metrics;
  claim_result_listener& listener;
  claim_commit_limits limits;
};

}  // namespace hawthorndrum
