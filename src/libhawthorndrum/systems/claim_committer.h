/// The writers of all buckets, and the stored layout that every daemon has to agree on.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "systems/claim_bucket_writer.h"
#include "systems/system.h"

namespace hawthorndrum {

/** How claims are distributed over objects; the same for all daemons. */
struct claim_layout {
  std::uint32_t buckets = 16;
  /** Archive shards of each bucket. */
  std::uint32_t shards = 64;
};

/**
 * Passes changes to the writers of their buckets. The layout is read from the store
 * (`claims/layout`), where the fleet's first daemon writes its own setting: two daemons with
 * different bucket counts would look for a key in different buckets. Changes are queued until the
 * layout is read.
 */
class claim_committer : public store_listener, public system {
 public:
  claim_committer(claim_commit_context context, claim_layout configured, std::size_t cache_bytes);

  bool ready() const { return layout_.buckets != 0; }
  /** 0 until ready. */
  std::uint32_t buckets() const { return layout_.buckets; }

  void Submit(claim_change change, time_point give_up_at, time_point now);
  /** See claim_bucket_writer. */
  bool Withdraw(const claim_name& name, attempt_id attempt);
  /** Reads the claim's bucket, and its archive if necessary, so that LastSeen finds the claim. */
  void Fetch(const claim_name& name, time_point now);
  /** Starts maintenance of the bucket: advances its epoch and removes expired records when due. */
  void MaintainBucket(std::uint32_t bucket, time_point now);
  void Run(time_point now) override;
  void OnStoreAnswer(store_call_id id, const store_answer& answer) override;

  /** The record as this daemon last read or wrote it, or nullptr. */
  const claim_record* LastSeen(const claim_name& name) const;
  const std::map<std::uint32_t, std::unique_ptr<claim_bucket_writer>>& writers() const {
    return writers_;
  }

 private:
  struct queued_change {
    claim_change change;
    time_point give_up_at;
  };
  enum class layout_step { kRead, kCreate };

  claim_bucket_writer& Writer(std::uint32_t bucket);
  void RequestLayout(time_point now);
  void HandleLayout(const store_answer& answer);
  void Start(claim_layout layout);
  void RefuseQueuedClaims(time_point overdue_before);
  void Evict();

  claim_commit_context context_;
  claim_layout configured_;
  std::size_t cache_bytes_;
  /** All fields are 0 until the layout is read. */
  claim_layout layout_{0, 0};
  std::vector<epoch_observation> observations_;
  std::map<std::uint32_t, std::unique_ptr<claim_bucket_writer>> writers_;

  std::vector<queued_change> queued_;
  layout_step layout_step_ = layout_step::kRead;
  bool layout_requested_ = false;
  time_point layout_not_before_;
};

}  // namespace hawthorndrum
