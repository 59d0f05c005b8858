/// Changes to claims, what comes of them, and their effect on a bucket.
#pragma once

#include "base/units.h"
#include "tables/claim_bucket.h"

namespace hawthorndrum {

/**
 * kClaim: make the record, or tell what is there. kSettle: the maker's own final word.
 * kResolve: the word of lookup or of an operator. kVisit: only keep the bucket in order.
 */
enum class claim_change_kind { kClaim, kSettle, kResolve, kVisit };

/** One wished change to the record of `record.name`. */
struct claim_change {
  claim_change_kind kind = claim_change_kind::kClaim;
  claim_record record;
  /** An attempt of which is known that it will never run: a kClaim may take its place. */
  attempt_id replaces;
  /** Whether `replaces` may be in kUnknown too: lookup has proved that it did not run. */
  bool replaces_unknown = false;
  /** The daemon that asked for it; none for this one. */
  peer_id origin;
};

/**
 * kMine: this attempt's claim is stored. kOpen, kDone, kUnknown, kMismatch, kNotRun: what is there
 * instead. kFull: the bucket has no room. kRefused: the store could not be asked. kSettled: a
 * settle or resolve is stored. kLost: a settle or resolve no longer applies.
 */
enum class claim_result_kind {
  kMine,
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
  /** The attempt that the change was for. */
  attempt_id attempt;
  peer_id origin;
  /** With kRefused: what the change was about; not sent to other daemons. */
  claim_name name;
  /** The record that is there; for kRefused the one that was last seen there, if any. */
  claim_record present;
  /** With kRefused: whether a record may have been written, or may yet land. */
  bool may_be_written = false;
};

/** What a change did to the bucket. */
struct change_effect {
  claim_result result;
  bool changed = false;
};

struct claim_bucket_limits {
  /** The store takes 1 MiB; a bucket stays below it. */
  std::size_t most_bytes = 768 * 1024;
  /** Whole epochs for which an answer is kept, and for which a not_run record is kept. */
  std::uint64_t done_epochs = 24;
  std::uint64_t not_run_epochs = 1;
};

/**
 * Applies the change. `size` is the bucket's StoredSize and is kept up to date. Applying a change
 * twice is the same as applying it once.
 */
change_effect ApplyChange(claim_bucket& bucket, std::size_t& size, const claim_change& change,
                          const claim_bucket_limits& limits);

/**
 * Removes done and not_run records that are older than their epochs; returns how many. Claimed and
 * unknown records are never removed: their key may be in flight.
 */
std::size_t RemoveExpired(claim_bucket& bucket, const claim_bucket_limits& limits);

}  // namespace hawthorndrum
