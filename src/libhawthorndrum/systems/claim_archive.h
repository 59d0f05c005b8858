/// The settled claims of one bucket, kept apart so that the bucket stays small.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ports/object_store.h"
#include "systems/claim_change.h"
#include "systems/claim_commit_context.h"

namespace hawthorndrum {

/** Done records that are in their shard and can leave the bucket with its next write. */
struct claim_removal {
  std::uint32_t shard = 0;
  /** The bucket's count of moves for the shard when the move began. */
  std::uint64_t moves = 0;
  std::vector<claim_record> records;
  /** What the shard now holds: sorted fingerprints. */
  std::vector<std::uint64_t> fingerprints;
};

/**
 * Moves done records from the bucket into shard objects, and tells whether a key is in one.
 *
 * A move first writes the records into the shard, conditionally; then the bucket's next write takes
 * them out and raises its count of moves for that shard. So whoever has read the bucket and then
 * the shard has seen every record of both, and what was read of a shard stays true for keys that
 * the bucket does not hold as long as the bucket's count stays the same. Shards, like buckets, are
 * never removed.
 */
class claim_archive : public store_listener {
 public:
  enum class knowledge { kAbsent, kPresent, kNotKnown };

  claim_archive(claim_commit_context& context, std::string key_prefix, std::uint32_t shards);

  /**
   * Whether the archive holds the name, `bucket` being the bucket as last read; fetches the shard
   * when that is not known. For kPresent, `record` is set.
   */
  knowledge Find(const claim_bucket& bucket, const claim_name& name, const claim_record*& record);
  /** Whether a fetch has failed since the last call; what waits for it has to be refused. */
  bool TakeFailure();

  /** Begins a move when the bucket is large and none is under way. */
  void MoveIfLarge(const claim_bucket& bucket, std::size_t size, time_point now);
  /** Takes the moved records out of the bucket; returns whether there were any. */
  bool ApplyRemoval(claim_bucket& bucket, std::size_t& size) const;
  /** The bucket without the records is stored. */
  void RemovalStored();

  /** Bounds what is kept of fetched records; called when no change waits for them. */
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
  void TakeFetched(const store_answer& answer);
  void TakeMoveRead(const store_answer& answer);
  void TakeMoveWritten(const store_answer& answer);
  bool DecodeShard(const store_answer& answer, claim_bucket& content);
  void GiveUpMove();

  claim_commit_context& context_;
  std::string key_prefix_;
  std::uint32_t shards_;
  std::map<std::uint32_t, shard_index> indexes_;
  /** Names that were asked for, with what the fetch said; empty until then. */
  std::map<claim_name, fetched_name> fetched_;
  std::vector<claim_name> asked_;

  step step_ = step::kNone;
  /** The shard of the call that is out, and the bucket's count of moves when it began. */
  std::uint32_t shard_ = 0;
  std::uint64_t shard_moves_ = 0;
  bool failed_ = false;

  std::uint64_t bucket_epoch_ = 0;
  std::optional<claim_removal> moving_;
  std::optional<claim_removal> removal_;
  time_point next_move_;
};

/** The shard of its bucket's archive that the claim moves to. */
std::uint32_t ShardOf(const claim_name& name, std::uint32_t shards);

}  // namespace hawthorndrum
