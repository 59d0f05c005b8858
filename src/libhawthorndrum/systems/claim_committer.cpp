/// The stored layout, the bucket writers, and the eviction of idle ones.
#include "systems/claim_committer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/cbor_fields.h"
#include "base/metrics_registry.h"
#include "ports/clock.h"
#include "systems/backoff.h"

namespace hawthorndrum {

namespace {

constexpr std::string_view kLayoutKey = "claims/layout";
constexpr std::uint64_t kLayoutFormat = 1;
constexpr std::uint64_t kMaxBuckets = 65536;
constexpr std::uint64_t kMaxShards = 4096;
constexpr duration kLayoutRetry = milliseconds(250);

bool ReadCount(const nlohmann::json& field, std::uint64_t most, std::uint32_t& count) {
  std::uint64_t value = 0;
  if (!ReadField(field, value) || value == 0 || value > most) return false;
  count = static_cast<std::uint32_t>(value);
  return true;
}

bool DecodeLayout(std::string_view value, claim_layout& layout) {
  const expected<nlohmann::json> item = DecodeCborText(value);
  if (!item || !item->is_array() || item->size() != 3) return false;
  std::uint64_t format = 0;
  if (!ReadField((*item)[0], format) || format != kLayoutFormat) return false;
  return ReadCount((*item)[1], kMaxBuckets, layout.buckets) &&
         ReadCount((*item)[2], kMaxShards, layout.shards);
}

}  // namespace

claim_committer::claim_committer(claim_commit_context context, claim_layout configured,
                                 std::size_t cache_bytes)
    : context_(context),
      configured_{std::max(configured.buckets, 1U), std::max(configured.shards, 1U)},
      cache_bytes_(cache_bytes) {}

void claim_committer::Submit(claim_change change, time_point give_up_at, time_point now) {
  if (!ready()) {
    queued_.push_back({std::move(change), give_up_at});
    return;
  }
  const std::uint32_t bucket = BucketOf(change.record.name, layout_.buckets);
  Writer(bucket).Submit(std::move(change), give_up_at, now);
}

bool claim_committer::Withdraw(const claim_name& name, attempt_id attempt) {
  queued_.erase(std::remove_if(queued_.begin(), queued_.end(),
                               [&](const queued_change& queued) {
                                 return queued.change.kind == claim_change_kind::kClaim &&
                                        queued.change.record.attempt == attempt;
                               }),
                queued_.end());
  if (!ready()) return false;
  const auto found = writers_.find(BucketOf(name, layout_.buckets));
  return found != writers_.end() && found->second->Withdraw(attempt);
}

void claim_committer::MaintainBucket(std::uint32_t bucket, time_point now) {
  claim_change maintenance;
  maintenance.kind = claim_change_kind::kMaintain;
  Writer(bucket).Submit(std::move(maintenance), time_point::max(), now);
}

void claim_committer::Fetch(const claim_name& name, time_point now) {
  claim_change fetch;
  fetch.kind = claim_change_kind::kMaintain;
  fetch.record.name = name;
  Submit(std::move(fetch), time_point::max(), now);
}

claim_bucket_writer& claim_committer::Writer(std::uint32_t bucket) {
  std::unique_ptr<claim_bucket_writer>& writer = writers_[bucket];
  if (!writer) {
    writer = std::make_unique<claim_bucket_writer>(context_, bucket, layout_.shards,
                                                   observations_[bucket]);
  }
  return *writer;
}

void claim_committer::Run(time_point now) {
  if (!ready()) {
    RefuseQueuedClaims(now);
    RequestLayout(now);
    return;
  }
  for (const auto& [bucket, writer] : writers_) writer->Run(now);
  Evict();
}

void claim_committer::RequestLayout(time_point now) {
  if (layout_requested_ || now < layout_not_before_) return;
  store_call call;
  call.key = kLayoutKey;
  call.timeout = context_.limits.call_timeout;
  if (layout_step_ == layout_step::kCreate) {
    call.operation = store_operation::kCreate;
    call.value = EncodeCborText(
        nlohmann::json::array({kLayoutFormat, configured_.buckets, configured_.shards}));
  }
  layout_requested_ = true;
  context_.store.Submit(std::move(call), *this);
}

void claim_committer::OnStoreAnswer(store_call_id, const store_answer& answer) {
  layout_requested_ = false;
  const time_point now = context_.time.Now();
  if (layout_step_ == layout_step::kCreate) {
    // Unless the create succeeded, the stored layout is read and applies.
    layout_step_ = layout_step::kRead;
    if (answer.outcome == store_outcome::kDone) Start(configured_);
    return;
  }
  if (answer.outcome == store_outcome::kMissing) {
    layout_step_ = layout_step::kCreate;
    return;
  }
  HandleLayout(answer);
  if (ready()) return;
  layout_not_before_ = now + JitteredDelay(0, kLayoutRetry, kLayoutRetry, context_.random);
  RefuseQueuedClaims(time_point::max());
}

void claim_committer::HandleLayout(const store_answer& answer) {
  if (answer.outcome != store_outcome::kDone) return;
  claim_layout layout;
  if (!DecodeLayout(answer.value, layout)) {
    context_.metrics.Counter("claim_layout_malformed").Add();
    return;
  }
  Start(layout);
}

void claim_committer::Start(claim_layout layout) {
  layout_ = layout;
  observations_.resize(layout.buckets);
  std::vector<queued_change> queued;
  queued.swap(queued_);
  const time_point now = context_.time.Now();
  for (queued_change& change : queued) Submit(std::move(change.change), change.give_up_at, now);
}

void claim_committer::RefuseQueuedClaims(time_point overdue_before) {
  std::vector<claim_result> refused;
  for (auto it = queued_.begin(); it != queued_.end();) {
    const bool overdue = it->give_up_at <= overdue_before;
    if (it->change.kind != claim_change_kind::kClaim || !overdue) {
      ++it;
      continue;
    }
    claim_result result;
    result.attempt = it->change.record.attempt;
    result.origin = it->change.origin;
    result.name = it->change.record.name;
    refused.push_back(std::move(result));
    it = queued_.erase(it);
  }
  for (const claim_result& result : refused) context_.listener.OnClaimResult(result);
}

const claim_record* claim_committer::LastSeen(const claim_name& name) const {
  if (!ready()) return nullptr;
  const auto found = writers_.find(BucketOf(name, layout_.buckets));
  return found == writers_.end() ? nullptr : found->second->LastSeen(name);
}

void claim_committer::Evict() {
  std::size_t total = 0;
  for (const auto& [bucket, writer] : writers_) total += writer->size();
  context_.metrics.Counter("claim_cache_bytes").Set(total);
  while (total > cache_bytes_) {
    auto oldest = writers_.end();
    for (auto it = writers_.begin(); it != writers_.end(); ++it) {
      if (!it->second->idle()) continue;
      if (oldest == writers_.end() || it->second->last_used() < oldest->second->last_used()) {
        oldest = it;
      }
    }
    if (oldest == writers_.end()) return;
    total -= oldest->second->size();
    writers_.erase(oldest);
  }
}

}  // namespace hawthorndrum
