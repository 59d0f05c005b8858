/// The archive of one bucket: its done claims, stored in separate objects so that the bucket
/// stays small.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ports/object_store.h"
#include "systems/claim_change.h"
#include "systems/claim_commit_context.h"

namespace hawthorndrum {

/** Done records that are stored in their shard and can be removed from the bucket with its next
 * write. */
struct claim_removal {
  std::uint32_t shard = 0;
  /** The bucket's move count for the shard when the move began. */
  std::uint64_t moves = 0;
  std::vector<claim_record> records;
  /** Sorted fingerprints of the names that the shard now holds. */
  std::vector<std::uint64_t> fingerprints;
};

/**
 * Moves done records from the bucket into shard objects, and finds out whether a shard holds a key.
 *
 * A move first writes the records into the shard with compare-and-set; the bucket's next write then
 * removes them and raises its move count for that shard. A reader of first the bucket and then the
 * shard therefore misses no record. For keys that the bucket does not hold, what was read of a
 * shard stays valid as long as the bucket's move count for it is unchanged. Shards, like buckets,
 * are never removed.
 */
class claim_archive : public store_listener {
 public:
  enum class presence { kAbsent, kPresent, kNotKnown };

  claim_archive(claim_commit_context& context, std::string key_prefix, std::uint32_t shards);

  /**
   * Returns whether the archive holds the name, given the bucket as last read; starts to fetch the
   * shard when that is not known. For kPresent, `record` is set.
   */
  presence Find(const claim_bucket& bucket, const claim_name& name, const claim_record*& record);
  /** Returns whether a fetch has failed since the last call; claims that wait must be refused. */
  bool ConsumeFailure();

  /** Begins a move when the bucket is above its size limit and no move is under way. */
  void MoveIfLarge(const claim_bucket& bucket, std::size_t size, time_point now);
  /** Removes the moved records from the bucket; returns whether a removal was pending. */
  bool ApplyRemoval(claim_bucket& bucket, std::size_t& size) const;
  /** Called when the bucket without the moved records is stored. */
  void RemovalStored();

  /** Bounds the cache of fetched records; called when no change waits for them. */
  void ForgetFetched();

  bool HasRemoval() const { return removal_.has_value(); }
  bool idle() const { return step_ == step::kNone; }
  /** The record as last fetched, or nullptr. */
  const claim_record* LastSeen(const claim_name& name) const;
  std::size_t size() const;

  void OnStoreAnswer(store_call_id id, const store_answer& answer) override;

 private:
  enum class step { kNone, kFetching, kMoveReading, kMoveWriting };
  struct shard_index {
    std::uint64_t moves = 0;
    std::vector<std::uint64_t> fingerprints;
  };
  struct fetched_name {
    std::uint64_t moves = 0;
    std::optional<claim_record> record;
  };

  std::string ShardKey(std::uint32_t shard) const;
  void Read(std::uint32_t shard, step next);
  void HandleFetched(const store_answer& answer);
  void HandleMoveRead(const store_answer& answer);
  void HandleMoveWritten(const store_answer& answer);
  bool DecodeShard(const store_answer& answer, claim_bucket& content);
  void AbandonMove();

  claim_commit_context& context_;
  std::string key_prefix_;
  std::uint32_t shards_;
  std::map<std::uint32_t, shard_index> indexes_;
  /** Results of fetches by name; `record` is empty when the shard does not hold the name. */
  std::map<claim_name, fetched_name> fetched_;
  std::vector<claim_name> requested_;

  step step_ = step::kNone;
  /** The shard of the call in flight, and the bucket's move count for it when the call began. */
  std::uint32_t shard_ = 0;
  std::uint64_t shard_moves_ = 0;
  bool failed_ = false;

  std::uint64_t bucket_epoch_ = 0;
  std::optional<claim_removal> moving_;
  std::optional<claim_removal> removal_;
  time_point next_move_;
};

/** Returns the shard of its bucket's archive that the claim belongs to. */
std::uint32_t ShardOf(const claim_name& name, std::uint32_t shards);

}  // namespace hawthorndrum
