/// The writer's steps: collect changes, read the bucket, apply, write, resolve unknown outcomes.
#include "systems/claim_bucket_writer.h"

#include <algorithm>

#include "base/metrics_registry.h"
#include "ports/clock.h"
#include "systems/backoff.h"

namespace hawthorndrum {

namespace {

/** After this many reads that find a contested bucket unchanged, it counts as uncontested. */
constexpr std::uint32_t kContestedReads = 8;

bool IsClaim(const claim_change& change) { return change.kind == claim_change_kind::kClaim; }

/** Whether the change needs to know if the archive holds its key. */
bool NeedsArchiveLookup(const claim_change& change) {
  return IsClaim(change) ||
         (change.kind == claim_change_kind::kMaintain && !change.record.name.key.empty());
}

std::string ArchivePrefix(std::uint32_t bucket) {
  return "claims/settled/" + std::to_string(bucket) + "/";
}

}  // namespace

std::string BucketKey(std::uint32_t bucket) { return "claims/bucket/" + std::to_string(bucket); }

claim_bucket_writer::claim_bucket_writer(claim_commit_context& context, std::uint32_t bucket,
                                         std::uint32_t shards, epoch_observation& observation)
    : context_(context),
      key_(BucketKey(bucket)),
      observation_(observation),
      archive_(context, ArchivePrefix(bucket), shards) {}

void claim_bucket_writer::Submit(claim_change change, time_point give_up_at, time_point now) {
  last_used_ = now;
  waiting_.push_back({std::move(change), now, give_up_at, false, false});
}

bool claim_bucket_writer::Withdraw(attempt_id attempt) {
  bool may_take_effect = false;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (!IsClaim(it->change) || it->change.record.attempt != attempt) {
      ++it;
      continue;
    }
    may_take_effect = may_take_effect || it->may_be_written;
    it = waiting_.erase(it);
  }
  for (waiting_change& written : writing_) {
    if (!IsClaim(written.change) || written.change.record.attempt != attempt) continue;
    written.withdrawn = true;
    may_take_effect = true;
  }
  return may_take_effect;
}

void claim_bucket_writer::Run(time_point now) {
  now_ = now;
  if (calling_) return;
  RefuseOverdue(now);
  if (waiting_.empty()) archive_.ForgetFetched();
  if (archive_.ConsumeFailure()) {
    RefuseClaims(now);
    BackOff();
  }
  if (loaded_) archive_.MoveIfLarge(bucket_, size_, now);
  if (!IsDue(now)) return;
  last_used_ = now;
  if (!loaded_ || (contested_ > 0 && !just_read_)) {
    Read();
  } else if (ArchiveLookupsDone()) {
    Commit();
  }
}

bool claim_bucket_writer::ArchiveLookupsDone() {
  bool known = true;
  for (const waiting_change& waiting : waiting_) {
    const claim_name& name = waiting.change.record.name;
    if (!NeedsArchiveLookup(waiting.change) || bucket_.Find(name) != nullptr) continue;
    const claim_record* record = nullptr;
    if (archive_.Find(bucket_, name, record) == claim_archive::presence::kNotKnown) known = false;
  }
  return known;
}

void claim_bucket_writer::RefuseOverdue(time_point now) {
  std::vector<claim_result> refused;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (!IsClaim(it->change) || now < it->give_up_at) {
      ++it;
      continue;
    }
    refused.push_back(Refusal(*it));
    it = waiting_.erase(it);
  }
  NotifyResults(refused);
}

bool claim_bucket_writer::IsDue(time_point now) const {
  if (now < not_before_) return false;
  if (archive_.HasRemoval()) return true;
  return std::any_of(waiting_.begin(), waiting_.end(), [&](const waiting_change& waiting) {
    return IsClaim(waiting.change) || now >= waiting.submitted + context_.limits.settle_delay;
  });
}

void claim_bucket_writer::Read() {
  store_call call;
  call.operation = store_operation::kGet;
  call.key = key_;
  call.timeout = context_.limits.call_timeout;
  calling_ = true;
  call_is_read_ = true;
  call_started_ = now_;
  context_.store.Submit(std::move(call), *this);
}

void claim_bucket_writer::Commit() {
  just_read_ = false;
  claim_bucket next = bucket_;
  std::size_t size = size_;
  std::vector<claim_result> results;
  bool changed = Maintain(next, size);
  for (const waiting_change& waiting : waiting_) {
    change_effect effect = Apply(next, size, waiting.change);
    changed = changed || effect.changed || NeedsFence(effect.result);
    results.push_back(std::move(effect.result));
  }
  // Applied last: the changes in the same write must still see the records that are removed.
  writing_removal_ = archive_.ApplyRemoval(next, size);
  if (changed || writing_removal_) {
    writing_ = std::move(waiting_);
    waiting_.clear();
    results_ = std::move(results);
    Write(std::move(next));
    return;
  }
  if (!IsFresh(results)) {
    Read();
    return;
  }
  waiting_.clear();
  NotifyResults(results);
}

change_effect claim_bucket_writer::Apply(claim_bucket& bucket, std::size_t& size,
                                         const claim_change& change) {
  const claim_record* archived = nullptr;
  const claim_name& name = change.record.name;
  if (IsClaim(change) && bucket_.Find(name) == nullptr) archive_.Find(bucket_, name, archived);
  if (archived == nullptr) return ApplyChange(bucket, size, change, context_.limits.bucket);
  // A done record can't be changed, so applying the change to a bucket of only this record gives
  // the same result as if it were still in its own.
  claim_bucket alone;
  alone.records[name] = *archived;
  std::size_t alone_size = StoredSize(alone);
  return ApplyChange(alone, alone_size, change, context_.limits.bucket);
}

bool claim_bucket_writer::Maintain(claim_bucket& bucket, std::size_t& size) {
  bool changed = false;
  const bool whole_epoch_seen = observation_.seen && observation_.epoch == bucket.epoch &&
                                now_ - observation_.since >= context_.limits.epoch_length;
  if (whole_epoch_seen && !bucket.records.empty()) {
    bucket.epoch += 1;
    changed = true;
  }
  const std::size_t removed = RemoveExpired(bucket, context_.limits.bucket);
  if (removed > 0) {
    context_.metrics.Counter("claims_expired").Add(removed);
    size = StoredSize(bucket);
    changed = true;
  }
  return changed;
}

bool claim_bucket_writer::NeedsFence(const claim_result& result) const {
  // A settle that finds no record is final only once the write of unknown outcome that may hold the
  // record can no longer take effect; any write that replaces the version it expects ensures that.
  const bool settles = result.change == claim_change_kind::kSettle;
  return fenced_ && settles && result.kind == claim_result_kind::kLost;
}

bool claim_bucket_writer::IsFresh(const std::vector<claim_result>& results) const {
  for (std::size_t i = 0; i < results.size(); ++i) {
    if (results[i].kind == claim_result_kind::kDone) continue;
    if (loaded_at_ < waiting_[i].submitted) return false;
  }
  return true;
}

void claim_bucket_writer::Write(claim_bucket next) {
  store_call call;
  call.operation = version_ ? store_operation::kUpdate : store_operation::kCreate;
  call.key = key_;
  call.expected = version_;
  call.value = EncodeBucket(next);
  call.timeout = context_.limits.call_timeout;
  context_.metrics.Counter("claim_commits").Add();
  context_.metrics.Counter("claim_commit_bytes").Add(call.value.size());
  next_ = std::move(next);
  calling_ = true;
  call_is_read_ = false;
  call_started_ = now_;
  context_.store.Submit(std::move(call), *this);
}

void claim_bucket_writer::OnStoreAnswer(store_call_id, const store_answer& answer) {
  calling_ = false;
  now_ = context_.time.Now();
  if (call_is_read_) {
    OnRead(answer);
  } else {
    OnWritten(answer);
  }
}

void claim_bucket_writer::OnRead(const store_answer& answer) {
  if (answer.outcome == store_outcome::kMissing && !observation_.exists) {
    just_read_ = true;
    SetBucket(claim_bucket(), object_version());
    return;
  }
  if (answer.outcome == store_outcome::kMissing) {
    // Treating the lost bucket as empty would free keys that have run.
    context_.metrics.Counter("claim_buckets_vanished").Add();
  }
  if (answer.outcome != store_outcome::kDone) {
    RefuseClaims(call_started_);
    BackOff();
    return;
  }
  expected<claim_bucket> bucket = DecodeBucket(answer.value);
  if (!bucket) {
    // Never overwritten, as its content is not known.
    context_.metrics.Counter("claim_buckets_malformed").Add();
    RefuseClaims(call_started_);
    BackOff();
    return;
  }
  if (contested_ > 0) contested_ = answer.version == version_ ? contested_ - 1 : kContestedReads;
  just_read_ = true;
  SetBucket(std::move(*bucket), answer.version);
}

void claim_bucket_writer::SetBucket(claim_bucket bucket, object_version version) {
  loaded_ = true;
  loaded_at_ = call_started_;
  bucket_ = std::move(bucket);
  size_ = StoredSize(bucket_);
  version_ = version;
  if (fenced_ && fence_ != version) fenced_ = false;
  if (!observation_.seen || observation_.epoch != bucket_.epoch) {
    observation_ = {bucket_.epoch, now_, true, observation_.exists};
  }
  if (version) observation_.exists = true;
}

void claim_bucket_writer::OnWritten(const store_answer& answer) {
  switch (answer.outcome) {
    case store_outcome::kDone: {
      failures_ = 0;
      if (writing_removal_) archive_.RemovalStored();
      SetBucket(std::move(next_), answer.version);
      not_before_ = call_started_ + context_.limits.commit_interval;
      std::vector<claim_result> results;
      for (std::size_t i = 0; i < results_.size(); ++i) {
        if (!writing_[i].withdrawn) results.push_back(std::move(results_[i]));
      }
      writing_.clear();
      results_.clear();
      NotifyResults(results);
      return;
    }
    case store_outcome::kRefused:
      Requeue();
      RefuseClaims(call_started_);
      BackOff();
      return;
    case store_outcome::kUnknown:
      context_.metrics.Counter("claim_commits_unknown").Add();
      fence_ = version_;
      fenced_ = true;
      for (waiting_change& written : writing_) written.may_be_written = true;
      Requeue();
      loaded_ = false;
      return;
    case store_outcome::kConflict:
    case store_outcome::kMissing:
    case store_outcome::kStale:
      context_.metrics.Counter("claim_conflicts").Add();
      Requeue();
      loaded_ = false;
      contested_ = kContestedReads;
      failures_ += 1;
      if (failures_ > 1) BackOff();
      return;
  }
}

void claim_bucket_writer::Requeue() {
  std::vector<waiting_change> back;
  for (waiting_change& written : writing_) {
    if (!written.withdrawn) back.push_back(std::move(written));
  }
  std::move(waiting_.begin(), waiting_.end(), std::back_inserter(back));
  waiting_ = std::move(back);
  writing_.clear();
  results_.clear();
}

void claim_bucket_writer::RefuseClaims(time_point submitted_by) {
  std::vector<claim_result> refused;
  std::vector<waiting_change> kept;
  for (waiting_change& waiting : waiting_) {
    if (!IsClaim(waiting.change) || waiting.submitted > submitted_by) {
      kept.push_back(std::move(waiting));
      continue;
    }
    refused.push_back(Refusal(waiting));
  }
  waiting_ = std::move(kept);
  NotifyResults(refused);
}

claim_result claim_bucket_writer::Refusal(const waiting_change& waiting) const {
  claim_result result;
  result.change = waiting.change.kind;
  result.attempt = waiting.change.record.attempt;
  result.origin = waiting.change.origin;
  result.may_be_written = waiting.may_be_written;
  result.name = waiting.change.record.name;
  const claim_record* seen = LastSeen(result.name);
  if (seen != nullptr) result.present = *seen;
  return result;
}

const claim_record* claim_bucket_writer::LastSeen(const claim_name& name) const {
  const claim_record* record = bucket_.Find(name);
  return record == nullptr ? archive_.LastSeen(name) : record;
}

void claim_bucket_writer::BackOff() {
  not_before_ = now_ + JitteredDelay(failures_, context_.limits.first_backoff,
                                     context_.limits.longest_backoff, context_.random);
  failures_ += 1;
}

void claim_bucket_writer::NotifyResults(const std::vector<claim_result>& results) {
  for (const claim_result& result : results) context_.listener.OnClaimResult(result);
}

}  // namespace hawthorndrum
