/// Changes to claims, their results, and their effect on a bucket.
#pragma once

#include "base/units.h"
#include "tables/claim_bucket.h"

namespace hawthorndrum {

/**
 * kClaim: creates the record, or returns the one that is present. kSettle: the claimant sets the
 * final state of its own attempt. kResolve: lookup or an operator sets it. kMaintain: requests
 * no change; the bucket is read and maintained.
 */
enum class claim_change_kind { kClaim, kSettle, kResolve, kMaintain };

/** A requested change to the record of `record.name`. */
struct claim_change {
  claim_change_kind kind = claim_change_kind::kClaim;
  claim_record record;
  /** An attempt that is known to never run: a kClaim may replace it. */
  attempt_id replaces;
  /** Whether `replaces` may also be in kUnknown: lookup has shown that it did not run. */
  bool replaces_unknown = false;
  /** The daemon that forwarded the change; empty for this daemon's own changes. */
  peer_id origin;
};

/**
 * kAcquired: this attempt's claim is stored. kOpen, kDone, kUnknown, kMismatch, kNotRun: the state
 * of the record that is present instead. kFull: the bucket has no room. kRefused: the store could
 * not be reached. kSettled: a settle or resolve is stored. kLost: a settle or resolve no longer
 * applies.
 */
enum class claim_result_kind {
  kAcquired,
  kOpen,
  kDone,
  kUnknown,
  kMismatch,
  kNotRun,
  kFull,
  kRefused,
  kSettled,
  kLost,
};

struct claim_result {
  claim_change_kind change = claim_change_kind::kClaim;
  claim_result_kind kind = claim_result_kind::kRefused;
  /** The attempt that the change belongs to. */
  attempt_id attempt;
  peer_id origin;
  /** With kRefused: the claim that the change refers to; not sent to other daemons. */
  claim_name name;
  /** The record that is present; for kRefused the one that was last read, if any. */
  claim_record present;
  /** With kRefused: whether a record may have been written, or may still be. */
  bool may_be_written = false;
};

/** The effect of a change on the bucket. */
struct change_effect {
  claim_result result;
  bool changed = false;
};

struct claim_bucket_limits {
  /** The store accepts objects of up to 1 MiB; a bucket stays below that. */
  std::size_t max_bytes = 768 * 1024;
  /** Whole epochs for which a done record with its answer, and a not_run record, are kept. */
  std::uint64_t done_epochs = 24;
  std::uint64_t not_run_epochs = 1;
};

/**
 * Applies the change. `size` is the bucket's StoredSize and is kept up to date. Applying a change
 * twice has the same effect as applying it once.
 */
change_effect ApplyChange(claim_bucket& bucket, std::size_t& size, const claim_change& change,
                          const claim_bucket_limits& limits);

/**
 * Removes done and not_run records that are older than their epochs; returns how many. Claimed and
 * unknown records are never removed: their request may still be in flight.
 */
std::size_t RemoveExpired(claim_bucket& bucket, const claim_bucket_limits& limits);

}  // namespace hawthorndrum
