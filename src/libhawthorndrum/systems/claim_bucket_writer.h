/// Group commit of one bucket: reads it, applies the waiting changes, and writes it conditionally.
#pragma once

#include <string>
#include <vector>

#include "ports/object_store.h"
#include "systems/claim_archive.h"
#include "systems/claim_commit_context.h"

namespace hawthorndrum {

/** Since when this daemon has seen a bucket's epoch, on its own clock. */
struct epoch_sighting {
  std::uint64_t epoch = 0;
  time_point since;
  bool seen = false;
  /** Whether the object was ever seen; it is never removed, so a missing one is a lost one. */
  bool exists = false;
};

/**
 * One bucket's writer. At most one store call is out at a time.
 *
 * Invariants: every write is conditional on the version that the written value was made from, and
 * objects are never removed, so a version never comes back: a write that timed out can land only
 * while the version that it expects is still there (`fence_`). A change whose write is unknown is
 * applied again to what is then read; that is safe, as applying twice is applying once.
 */
class claim_bucket_writer : public store_listener {
 public:
  claim_bucket_writer(claim_commit_context& context, std::uint32_t bucket, std::uint32_t shards,
                      epoch_sighting& sighting);

  /** A claim is refused when it is not stored by `give_up_at`; other changes are kept until done.
   */
  void Submit(claim_change change, time_point give_up_at, time_point now);
  /**
   * Takes back a claim that its maker has given up. Returns whether a write with it may still land;
   * then a settle to kNotRun has to follow.
   */
  bool Withdraw(attempt_id attempt);
  void Run(time_point now);
  void OnStoreAnswer(store_call_id id, const store_answer& answer) override;

  bool idle() const {
    return !calling_ && !fenced_ && waiting_.empty() && writing_.empty() && archive_.idle();
  }
  /** The bucket as last seen; it may have changed since. */
  const claim_bucket& last_seen() const { return bucket_; }
  /** The record as last seen in the bucket or its archive, or nullptr. */
  const claim_record* LastSeen(const claim_name& name) const;
  std::size_t size() const { return size_ + archive_.size(); }
  time_point last_used() const { return last_used_; }

 private:
  struct waiting_change {
    claim_change change;
    time_point submitted;
    time_point give_up_at;
    /** Whether a write with this change ended unknown. */
    bool may_be_written = false;
    bool withdrawn = false;
  };

  void RefuseOverdue(time_point now);
  bool IsDue(time_point now) const;
  void Read();
  /** Whether it is known of every claim that waits whether the archive holds its key. */
  bool KnowsArchive();
  void Commit();
  change_effect Apply(claim_bucket& bucket, std::size_t& size, const claim_change& change);
  void Write(claim_bucket next);
  bool KeepInOrder(claim_bucket& bucket, std::size_t& size);
  bool NeedsFence(const claim_result& result) const;
  /** Whether the unchanged results may be given out, being read after the changes came. */
  bool IsFresh(const std::vector<claim_result>& results) const;
  void OnRead(const store_answer& answer);
  void OnWritten(const store_answer& answer);
  void TakeBucket(claim_bucket bucket, object_version version);
  /** Refuses the claims that the failed call was for; later ones get a call of their own. */
  void RefuseClaims(time_point submitted_by);
  claim_result Refusal(const waiting_change& waiting) const;
  void PutBack();
  void BackOff();
  void Give(const std::vector<claim_result>& results);

  claim_commit_context& context_;
  std::string key_;
  epoch_sighting& sighting_;
  claim_archive archive_;

  /** Whether bucket_ and version_ hold what was last read or written. */
  bool loaded_ = false;
  claim_bucket bucket_;
  std::size_t size_ = 0;
  object_version version_;
  time_point loaded_at_;

  std::vector<waiting_change> waiting_;
  /** The changes in the write that is out, what will come of them, and the value it makes. */
  std::vector<waiting_change> writing_;
  std::vector<claim_result> results_;
  claim_bucket next_;

  bool calling_ = false;
  bool call_is_read_ = false;
  /** Whether the write that is out takes the archive's removal out of the bucket. */
  bool writing_removal_ = false;
  time_point call_started_;
  /** The version that an unknown write expects; it can land while that version stays. */
  object_version fence_;
  bool fenced_ = false;
  /** Above 0 while others write the bucket too: then it is read before each write, as a read costs
   *  the store less than a write in vain. Falls with each read that finds it unchanged. */
  std::uint32_t contested_ = 0;
  bool just_read_ = false;
  time_point not_before_;
  std::uint32_t failures_ = 0;
  time_point now_;
  time_point last_used_;
};

/** The key of a bucket's object. */
std::string BucketKey(std::uint32_t bucket);

}  // namespace hawthorndrum
