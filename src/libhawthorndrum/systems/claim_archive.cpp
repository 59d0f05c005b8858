/// Fetches shards, and carries out the two steps of a move.
#include "systems/claim_archive.h"

#include <algorithm>

#include "base/hash.h"
#include "base/metrics_registry.h"
#include "ports/clock.h"

namespace hawthorndrum {

namespace {

constexpr std::uint64_t kShardSeed = 0x7368617264;
constexpr std::size_t kMaxFetched = 256;
constexpr std::uint64_t kFingerprintSeed = 0x66696e676572;

std::uint64_t Fingerprint(const claim_name& name) {
  return Hash64(name.key, Hash64(name.service, kFingerprintSeed));
}

std::vector<std::uint64_t> Fingerprints(const claim_bucket& content) {
  std::vector<std::uint64_t> all;
  all.reserve(content.records.size());
  for (const auto& [name, record] : content.records) all.push_back(Fingerprint(name));
  std::sort(all.begin(), all.end());
  return all;
}

bool IsMoved(const claim_record& present, const claim_record& moved) {
  return present.attempt == moved.attempt && present.state == claim_state::kDone;
}

/** Returns the shard for which the bucket holds the most bytes of done records. */
std::uint32_t FullestShard(const claim_bucket& bucket, std::uint32_t shards) {
  std::vector<std::size_t> bytes(shards);
  for (const auto& [name, record] : bucket.records) {
    if (record.state == claim_state::kDone) bytes[ShardOf(name, shards)] += StoredSize(record);
  }
  return static_cast<std::uint32_t>(std::max_element(bytes.begin(), bytes.end()) - bytes.begin());
}

}  // namespace

std::uint32_t ShardOf(const claim_name& name, std::uint32_t shards) {
  return static_cast<std::uint32_t>(Hash64(name.key, Hash64(name.service, kShardSeed)) % shards);
}

claim_archive::claim_archive(claim_commit_context& context, std::string key_prefix,
                             std::uint32_t shards)
    : context_(context), key_prefix_(std::move(key_prefix)), shards_(shards) {}

std::string claim_archive::ShardKey(std::uint32_t shard) const {
  return key_prefix_ + std::to_string(shard);
}

claim_archive::presence claim_archive::Find(const claim_bucket& bucket, const claim_name& name,
                                            const claim_record*& record) {
  const std::uint32_t shard = ShardOf(name, shards_);
  const std::uint64_t moves = bucket.Moves(shard);
  if (moves == 0) return presence::kAbsent;
  const auto fetched = fetched_.find(name);
  if (fetched != fetched_.end() && fetched->second.moves == moves) {
    if (!fetched->second.record) return presence::kAbsent;
    record = &*fetched->second.record;
    return presence::kPresent;
  }
  const auto index = indexes_.find(shard);
  if (index != indexes_.end() && index->second.moves == moves) {
    const auto& known = index->second.fingerprints;
    if (!std::binary_search(known.begin(), known.end(), Fingerprint(name))) {
      return presence::kAbsent;
    }
  }
  if (std::find(requested_.begin(), requested_.end(), name) == requested_.end())
    requested_.push_back(name);
  if (step_ == step::kNone) {
    shard_moves_ = moves;
    Read(shard, step::kFetching);
  }
  return presence::kNotKnown;
}

void claim_archive::Read(std::uint32_t shard, step next) {
  step_ = next;
  shard_ = shard;
  store_call call;
  call.key = ShardKey(shard);
  call.timeout = context_.limits.call_timeout;
  context_.metrics.Counter("claim_archive_reads").Add();
  context_.store.Submit(std::move(call), *this);
}

bool claim_archive::ConsumeFailure() {
  const bool failed = failed_;
  failed_ = false;
  if (failed) requested_.clear();
  return failed;
}

void claim_archive::MoveIfLarge(const claim_bucket& bucket, std::size_t size, time_point now) {
  if (size <= context_.limits.archive_above || now < next_move_) return;
  if (step_ != step::kNone || removal_) return;
  claim_removal removal;
  removal.shard = FullestShard(bucket, shards_);
  removal.moves = bucket.Moves(removal.shard);
  for (const auto& [name, record] : bucket.records) {
    const bool done = record.state == claim_state::kDone;
    if (done && ShardOf(name, shards_) == removal.shard) removal.records.push_back(record);
  }
  next_move_ = now + context_.limits.move_retry;
  if (removal.records.empty()) return;
  bucket_epoch_ = bucket.epoch;
  shard_moves_ = removal.moves;
  moving_ = std::move(removal);
  Read(moving_->shard, step::kMoveReading);
}

void claim_archive::OnStoreAnswer(store_call_id, const store_answer& answer) {
  const step ended = step_;
  step_ = step::kNone;
  if (ended == step::kFetching) HandleFetched(answer);
  if (ended == step::kMoveReading) HandleMoveRead(answer);
  if (ended == step::kMoveWriting) HandleMoveWritten(answer);
}

bool claim_archive::DecodeShard(const store_answer& answer, claim_bucket& content) {
  if (answer.outcome == store_outcome::kMissing) {
    // Shards are never removed, so one that records were moved to must exist.
    if (shard_moves_ > 0) context_.metrics.Counter("claim_buckets_vanished").Add();
    return shard_moves_ == 0;
  }
  if (answer.outcome != store_outcome::kDone) return false;
  expected<claim_bucket> decoded = DecodeBucket(answer.value);
  if (!decoded) {
    context_.metrics.Counter("claim_buckets_malformed").Add();
    return false;
  }
  content = std::move(*decoded);
  return true;
}

void claim_archive::HandleFetched(const store_answer& answer) {
  claim_bucket content;
  if (!DecodeShard(answer, content)) {
    failed_ = true;
    return;
  }
  indexes_[shard_] = {shard_moves_, Fingerprints(content)};
  std::vector<claim_name> others;
  for (claim_name& name : requested_) {
    if (ShardOf(name, shards_) != shard_) {
      others.push_back(std::move(name));
      continue;
    }
    fetched_name fetched{shard_moves_, std::nullopt};
    const claim_record* record = content.Find(name);
    if (record != nullptr) fetched.record = *record;
    fetched_[std::move(name)] = std::move(fetched);
  }
  requested_ = std::move(others);
}

void claim_archive::HandleMoveRead(const store_answer& answer) {
  claim_bucket content;
  if (!DecodeShard(answer, content)) {
    AbandonMove();
    return;
  }
  content.epoch = std::max(content.epoch, bucket_epoch_);
  const std::size_t expired = RemoveExpired(content, context_.limits.bucket);
  context_.metrics.Counter("claims_expired").Add(expired);
  for (const claim_record& record : moving_->records) content.records[record.name] = record;
  if (StoredSize(content) > context_.limits.bucket.max_bytes) {
    context_.metrics.Counter("claim_archive_full").Add();
    AbandonMove();
    return;
  }
  moving_->fingerprints = Fingerprints(content);
  store_call call;
  call.operation = answer.version ? store_operation::kUpdate : store_operation::kCreate;
  call.key = ShardKey(shard_);
  call.expected = answer.version;
  call.value = EncodeBucket(content);
  call.timeout = context_.limits.call_timeout;
  context_.metrics.Counter("claim_archive_writes").Add();
  context_.metrics.Counter("claim_archive_bytes").Add(call.value.size());
  step_ = step::kMoveWriting;
  context_.store.Submit(std::move(call), *this);
}

void claim_archive::HandleMoveWritten(const store_answer& answer) {
  // After any other outcome the move starts over: writing the same records twice is idempotent.
  if (answer.outcome != store_outcome::kDone) {
    AbandonMove();
    return;
  }
  removal_ = std::move(moving_);
  moving_.reset();
  next_move_ = time_point();
}

void claim_archive::AbandonMove() {
  moving_.reset();
  context_.metrics.Counter("claim_moves_given_up").Add();
}

bool claim_archive::ApplyRemoval(claim_bucket& bucket, std::size_t& size) const {
  if (!removal_) return false;
  for (const claim_record& moved : removal_->records) {
    const auto found = bucket.records.find(moved.name);
    if (found == bucket.records.end() || !IsMoved(found->second, moved)) continue;
    bucket.records.erase(found);
  }
  bucket.RaiseMoves(removal_->shard);
  size = StoredSize(bucket);
  return true;
}

void claim_archive::RemovalStored() {
  // If another daemon moved records into the shard meanwhile, the bucket's move count is higher
  // than the one stored here, and the index counts as outdated.
  indexes_[removal_->shard] = {removal_->moves + 1, std::move(removal_->fingerprints)};
  removal_.reset();
}

void claim_archive::ForgetFetched() {
  if (fetched_.size() > kMaxFetched) fetched_.clear();
}

const claim_record* claim_archive::LastSeen(const claim_name& name) const {
  const auto found = fetched_.find(name);
  if (found == fetched_.end() || !found->second.record) return nullptr;
  return &*found->second.record;
}

std::size_t claim_archive::size() const {
  std::size_t count = 0;
  for (const auto& [shard, index] : indexes_) count += index.fingerprints.size();
  return count * sizeof(std::uint64_t);
}

}  // namespace hawthorndrum
