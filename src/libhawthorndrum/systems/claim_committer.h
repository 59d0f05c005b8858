/// The writers of all buckets, and the stored bucket count that every daemon has to agree on.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "systems/claim_bucket_writer.h"
#include "systems/system.h"

namespace hawthorndrum {

/** How claims are spread over objects; the same for all daemons. */
struct claim_layout {
  std::uint32_t buckets = 16;
  /** Archive shards of each bucket. */
  std::uint32_t shards = 64;
};

/**
 * Hands changes to their buckets' writers. How many buckets there are is read from the store
 * (`claims/layout`), where the first daemon ever puts its own setting: two daemons with different
 * counts would look for a key in different buckets. Until it is read, changes wait here.
 */
class claim_committer : public store_listener, public system {
 public:
  claim_committer(claim_commit_context context, claim_layout wished, std::size_t cache_bytes);

  bool ready() const { return layout_.buckets != 0; }
  /** 0 until ready. */
  std::uint32_t buckets() const { return layout_.buckets; }

  void Submit(claim_change change, time_point give_up_at, time_point now);
  /** See claim_bucket_writer. */
  bool Withdraw(const claim_name& name, attempt_id attempt);
  /** Reads the claim's bucket, and its archive if need be, for LastSeen. */
  void Look(const claim_name& name, time_point now);
  /** Lets the bucket's age and expired records be looked after. */
  void Visit(std::uint32_t bucket, time_point now);
  void Run(time_point now) override;
  void OnStoreAnswer(store_call_id id, const store_answer& answer) override;

  /** The record as this daemon last saw it, or nullptr. */
  const claim_record* LastSeen(const claim_name& name) const;
  const std::map<std::uint32_t, std::unique_ptr<claim_bucket_writer>>& writers() const {
    return writers_;
  }

 private:
  struct early_change {
    claim_change change;
    time_point give_up_at;
  };
  enum class layout_step { kRead, kCreate };

  claim_bucket_writer& Writer(std::uint32_t bucket);
  void AskForLayout(time_point now);
  void TakeLayout(const store_answer& answer);
  void Start(claim_layout layout);
  void RefuseEarlyClaims(time_point overdue_before);
  void Evict();

  claim_commit_context context_;
  claim_layout wished_;
  std::size_t cache_bytes_;
  /** All 0 until it is read. */
  claim_layout layout_{0, 0};
  std::vector<epoch_sighting> sightings_;
  std::map<std::uint32_t, std::unique_ptr<claim_bucket_writer>> writers_;

  std::vector<early_change> early_;
  layout_step layout_step_ = layout_step::kRead;
  bool layout_asked_ = false;
  time_point layout_not_before_;
};

}  // namespace hawthorndrum
