/// Group commit of one bucket: reads it, applies the waiting changes, and writes it conditionally.
#pragma once

#include <string>
#include <vector>

#include "ports/object_store.h"
#include "systems/claim_archive.h"
#include "systems/claim_commit_context.h"

namespace hawthorndrum {

/** The epoch of a bucket, and since when this daemon has observed it, on its own clock. */
struct epoch_observation {
  std::uint64_t epoch = 0;
  time_point since;
  bool seen = false;
  /** Whether the object was ever read; it is never removed, so if it is missing now, it is lost. */
  bool exists = false;
};

/**
 * Writes one bucket. At most one of its own store calls is in flight at a time.
 *
 * Invariants: every write is a compare-and-set on the version that the written value was derived
 * from, and objects are never removed, so a version never recurs: a write that timed out can take
 * effect only while the version that it expects is current (`fence_`). A change whose write ended
 * with an unknown outcome is applied again to the bucket as read next; changes are idempotent.
 */
class claim_bucket_writer : public store_listener {
 public:
  claim_bucket_writer(claim_commit_context& context, std::uint32_t bucket, std::uint32_t shards,
                      epoch_observation& observation);

  /** Queues a change. A claim still queued at `give_up_at` is refused; other changes are kept
   *  until they are applied. */
  void Submit(claim_change change, time_point give_up_at, time_point now);
  /**
   * Withdraws a claim that its claimant has given up. Returns whether a write with it may still
   * take effect; if so, a settle to kNotRun has to follow.
   */
  bool Withdraw(attempt_id attempt);
  void Run(time_point now);
  void OnStoreAnswer(store_call_id id, const store_answer& answer) override;

  bool idle() const {
    return !calling_ && !fenced_ && waiting_.empty() && writing_.empty() && archive_.idle();
  }
  /** The bucket as last read or written; it may have changed since. */
  const claim_bucket& last_seen() const { return bucket_; }
  /** The record as last read or written in the bucket or its archive, or nullptr. */
  const claim_record* LastSeen(const claim_name& name) const;
  std::size_t size() const { return size_ + archive_.size(); }
  time_point last_used() const { return last_used_; }

 private:
  struct waiting_change {
    claim_change change;
    time_point submitted;
    time_point give_up_at;
    /** Whether a write with this change ended with an unknown outcome. */
    bool may_be_written = false;
    bool withdrawn = false;
  };

  void RefuseOverdue(time_point now);
  bool IsDue(time_point now) const;
  void Read();
  /** Whether it is known, for every waiting change, if the archive holds its key. */
  bool ArchiveLookupsDone();
  void Commit();
  change_effect Apply(claim_bucket& bucket, std::size_t& size, const claim_change& change);
  void Write(claim_bucket next);
  bool Maintain(claim_bucket& bucket, std::size_t& size);
  bool NeedsFence(const claim_result& result) const;
  /** Whether the results, which change nothing, may be returned: the bucket was read after the
   *  changes were submitted. */
  bool IsFresh(const std::vector<claim_result>& results) const;
  void OnRead(const store_answer& answer);
  void OnWritten(const store_answer& answer);
  void SetBucket(claim_bucket bucket, object_version version);
  /** Refuses the claims that the failed call served; claims submitted later get another call. */
  void RefuseClaims(time_point submitted_by);
  claim_result Refusal(const waiting_change& waiting) const;
  void Requeue();
  void BackOff();
  void NotifyResults(const std::vector<claim_result>& results);

  claim_commit_context& context_;
  std::string key_;
  epoch_observation& observation_;
  claim_archive archive_;

  /** Whether bucket_ and version_ hold what was last read or written. */
  bool loaded_ = false;
  claim_bucket bucket_;
  std::size_t size_ = 0;
  object_version version_;
  time_point loaded_at_;

  std::vector<waiting_change> waiting_;
  /** The changes in the write in flight, their results if it succeeds, and the value it writes. */
  std::vector<waiting_change> writing_;
  std::vector<claim_result> results_;
  claim_bucket next_;

  bool calling_ = false;
  bool call_is_read_ = false;
  /** Whether the write in flight removes the records that were moved to the archive. */
  bool writing_removal_ = false;
  time_point call_started_;
  /** The version that a write of unknown outcome expects; while it is current, that write can still
   *  take effect. */
  object_version fence_;
  bool fenced_ = false;
  /** Above 0 while other daemons write the bucket too: it is then read before each write, as a read
   *  costs the store less than a write that conflicts. Falls with each read that finds the bucket
   *  unchanged. */
  std::uint32_t contested_ = 0;
  bool just_read_ = false;
  time_point not_before_;
  std::uint32_t failures_ = 0;
  time_point now_;
  time_point last_used_;
};

/** Returns the key of a bucket's object. */
std::string BucketKey(std::uint32_t bucket);

}  // namespace hawthorndrum
