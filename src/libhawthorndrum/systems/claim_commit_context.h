/// What the writers of all buckets share.
#pragma once

#include "ports/object_store.h"
#include "systems/claim_change.h"

namespace hawthorndrum {

class clock;
class metrics_registry;
class random_source;

/** Gets one result for each change, but for those that were withdrawn. */
class claim_result_listener {
 public:
  virtual ~claim_result_listener() = default;
  virtual void OnClaimResult(const claim_result& result) = 0;
};

struct claim_commit_limits {
  claim_bucket_limits bucket;
  /** A bucket above this size moves done records into its archive. */
  std::size_t archive_above = 32 * 1024;
  /** No bucket is written more often than this, so that changes gather under load. */
  duration commit_interval = milliseconds(20);
  /** How long settles may wait for a claim to be written along with. */
  duration settle_delay = milliseconds(250);
  duration call_timeout = seconds(2);
  duration first_backoff = milliseconds(20);
  duration longest_backoff = milliseconds(250);
  /** How long a bucket waits after a move that failed. */
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
