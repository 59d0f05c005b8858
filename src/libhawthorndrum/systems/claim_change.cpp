/// The rules for changes to a record.
#include "systems/claim_change.h"

namespace hawthorndrum {

namespace {

claim_result ResultOf(const claim_change& change, claim_result_kind kind) {
  claim_result result;
  result.change = change.kind;
  result.kind = kind;
  result.attempt = change.record.attempt;
  result.origin = change.origin;
  return result;
}

change_effect Unchanged(const claim_change& change, claim_result_kind kind,
                        const claim_record* present = nullptr) {
  change_effect effect{ResultOf(change, kind), false};
  if (present != nullptr) effect.result.present = *present;
  return effect;
}

/** Whether a new claim may replace the record. */
bool IsFree(const claim_record& present, const claim_change& change) {
  if (present.state == claim_state::kNotRun) return true;
  if (present.attempt != change.replaces) return false;
  if (present.state == claim_state::kClaimed) return true;
  return present.state == claim_state::kUnknown && change.replaces_unknown;
}

/** The result when the claim's own attempt is present: an earlier write of it took effect, and the
 * answer was lost. */
claim_result_kind OwnRecordKind(const claim_record& present) {
  switch (present.state) {
    case claim_state::kClaimed:
      return claim_result_kind::kAcquired;
    case claim_state::kDone:
      return claim_result_kind::kDone;
    case claim_state::kNotRun:
      return claim_result_kind::kNotRun;
    case claim_state::kUnknown:
      return claim_result_kind::kUnknown;
  }
  return claim_result_kind::kUnknown;
}

claim_result_kind OthersRecordKind(const claim_record& present, const claim_change& change) {
  if (present.digest != change.record.digest) return claim_result_kind::kMismatch;
  if (present.state == claim_state::kDone) return claim_result_kind::kDone;
  if (present.state == claim_state::kUnknown) return claim_result_kind::kUnknown;
  return claim_result_kind::kOpen;
}

change_effect Put(claim_bucket& bucket, std::size_t& size, const claim_change& change,
                  const claim_record* present, claim_result_kind kind) {
  const std::size_t freed = present == nullptr ? 0 : StoredSize(*present);
  claim_record record = change.record;
  if (record.state != claim_state::kClaimed) record.settled_epoch = bucket.epoch;
  size += StoredSize(record);
  size -= freed;
  bucket.records[record.name] = std::move(record);
  return {ResultOf(change, kind), true};
}

change_effect ApplyClaim(claim_bucket& bucket, std::size_t& size, const claim_change& change,
                         const claim_bucket_limits& limits) {
  const claim_record* present = bucket.Find(change.record.name);
  if (present != nullptr && present->attempt == change.record.attempt) {
    return Unchanged(change, OwnRecordKind(*present), present);
  }
  if (present != nullptr && !IsFree(*present, change)) {
    return Unchanged(change, OthersRecordKind(*present, change), present);
  }
  // Needs room for the claim twice, so that open claims can always be settled.
  if (size + 2 * StoredSize(change.record) > limits.max_bytes) {
    return Unchanged(change, claim_result_kind::kFull);
  }
  return Put(bucket, size, change, present, claim_result_kind::kAcquired);
}

/** Stores the state; the answer is omitted when the bucket has no room for it. */
change_effect StoreState(claim_bucket& bucket, std::size_t& size, const claim_change& change,
                         const claim_record& present, const claim_bucket_limits& limits) {
  claim_change stored = change;
  stored.record.digest = present.digest;
  stored.record.claimant = present.claimant;
  stored.record.incarnation = present.incarnation;
  if (size + StoredSize(stored.record) > limits.max_bytes) stored.record.answer = http_answer();
  const claim_record before = present;
  return Put(bucket, size, stored, &before, claim_result_kind::kSettled);
}

change_effect ApplySettle(claim_bucket& bucket, std::size_t& size, const claim_change& change,
                          const claim_bucket_limits& limits) {
  const claim_record* present = bucket.Find(change.record.name);
  if (present == nullptr || present->attempt != change.record.attempt) {
    return Unchanged(change, claim_result_kind::kLost, present);
  }
  if (present->state == change.record.state) {
    return Unchanged(change, claim_result_kind::kSettled, present);
  }
  const bool resolves = change.kind == claim_change_kind::kResolve;
  const bool open = present->state == claim_state::kClaimed ||
                    (resolves && present->state == claim_state::kUnknown);
  if (!open) return Unchanged(change, claim_result_kind::kLost, present);
  return StoreState(bucket, size, change, *present, limits);
}

}  // namespace

change_effect ApplyChange(claim_bucket& bucket, std::size_t& size, const claim_change& change,
                          const claim_bucket_limits& limits) {
  switch (change.kind) {
    case claim_change_kind::kClaim:
      return ApplyClaim(bucket, size, change, limits);
    case claim_change_kind::kSettle:
    case claim_change_kind::kResolve:
      return ApplySettle(bucket, size, change, limits);
    case claim_change_kind::kMaintain:
      return Unchanged(change, claim_result_kind::kSettled);
  }
  return Unchanged(change, claim_result_kind::kRefused);
}

std::size_t RemoveExpired(claim_bucket& bucket, const claim_bucket_limits& limits) {
  std::size_t removed = 0;
  for (auto it = bucket.records.begin(); it != bucket.records.end();) {
    const claim_record& record = it->second;
    const bool done = record.state == claim_state::kDone;
    const bool may_go = done || record.state == claim_state::kNotRun;
    const std::uint64_t kept = done ? limits.done_epochs : limits.not_run_epochs;
    if (!may_go || bucket.epoch <= record.settled_epoch + kept) {
      ++it;
      continue;
    }
    it = bucket.records.erase(it);
    removed += 1;
  }
  return removed;
}

}  // namespace hawthorndrum
