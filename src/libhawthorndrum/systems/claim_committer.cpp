/// Layout, writers and their cache.
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
constexpr std::uint64_t kMostBuckets = 65536;
constexpr std::uint64_t kMostShards = 4096;
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
  return ReadCount((*item)[1], kMostBuckets, layout.buckets) &&
         ReadCount((*item)[2], kMostShards, layout.shards);
}

}  // namespace

claim_committer::claim_committer(claim_commit_context context, claim_layout wished,
                                 std::size_t cache_bytes)
    : context_(context),
      wished_{std::max(wished.buckets, 1U), std::max(wished.shards, 1U)},
      cache_bytes_(cache_bytes) {}

void claim_committer::Submit(claim_change change, time_point give_up_at, time_point now) {
  if (!ready()) {
    early_.push_back({std::move(change), give_up_at});
    return;
  }
  const std::uint32_t bucket = BucketOf(change.record.name, layout_.buckets);
  Writer(bucket).Submit(std::move(change), give_up_at, now);
}

bool claim_committer::Withdraw(const claim_name& name, attempt_id attempt) {
  early_.erase(std::remove_if(early_.begin(), early_.end(),
                              [&](const early_change& early) {
                                return early.change.kind == claim_change_kind::kClaim &&
                                       early.change.record.attempt == attempt;
                              }),
               early_.end());
  if (!ready()) return false;
  const auto found = writers_.find(BucketOf(name, layout_.buckets));
  return found != writers_.end() && found->second->Withdraw(attempt);
}

void claim_committer::Visit(std::uint32_t bucket, time_point now) {
  claim_change visit;
  visit.kind = claim_change_kind::kVisit;
  Writer(bucket).Submit(std::move(visit), time_point::max(), now);
}

void claim_committer::Look(const claim_name& name, time_point now) {
  claim_change look;
  look.kind = claim_change_kind::kVisit;
  look.record.name = name;
  Submit(std::move(look), time_point::max(), now);
}

claim_bucket_writer& claim_committer::Writer(std::uint32_t bucket) {
  std::unique_ptr<claim_bucket_writer>& writer = writers_[bucket];
  if (!writer) {
    writer =
        std::make_unique<claim_bucket_writer>(context_, bucket, layout_.shards, sightings_[bucket]);
  }
  return *writer;
}

void claim_committer::Run(time_point now) {
  if (!ready()) {
    RefuseEarlyClaims(now);
    AskForLayout(now);
    return;
  }
  for (const auto& [bucket, writer] : writers_) writer->Run(now);
  Evict();
}

void claim_committer::AskForLayout(time_point now) {
  if (layout_asked_ || now < layout_not_before_) return;
  store_call call;
  call.key = kLayoutKey;
  call.timeout = context_.limits.call_timeout;
  if (layout_step_ == layout_step::kCreate) {
    call.operation = store_operation::kCreate;
    call.value =
        EncodeCborText(nlohmann::json::array({kLayoutFormat, wished_.buckets, wished_.shards}));
  }
  layout_asked_ = true;
  context_.store.Submit(std::move(call), *this);
}

void claim_committer::OnStoreAnswer(store_call_id, const store_answer& answer) {
  layout_asked_ = false;
  const time_point now = context_.time.Now();
  if (layout_step_ == layout_step::kCreate) {
    // Whatever came of it, what is stored decides.
    layout_step_ = layout_step::kRead;
    if (answer.outcome == store_outcome::kDone) Start(wished_);
    return;
  }
  if (answer.outcome == store_outcome::kMissing) {
    layout_step_ = layout_step::kCreate;
    return;
  }
  TakeLayout(answer);
  if (ready()) return;
  layout_not_before_ = now + JitteredDelay(0, kLayoutRetry, kLayoutRetry, context_.random);
  RefuseEarlyClaims(time_point::max());
}

void claim_committer::TakeLayout(const store_answer& answer) {
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
  sightings_.resize(layout.buckets);
  std::vector<early_change> early;
  early.swap(early_);
  const time_point now = context_.time.Now();
  for (early_change& change : early) Submit(std::move(change.change), change.give_up_at, now);
}

void claim_committer::RefuseEarlyClaims(time_point overdue_before) {
  std::vector<claim_result> refused;
  for (auto place = early_.begin(); place != early_.end();) {
    const bool overdue = place->give_up_at <= overdue_before;
    if (place->change.kind != claim_change_kind::kClaim || !overdue) {
      ++place;
      continue;
    }
    claim_result result;
    result.attempt = place->change.record.attempt;
    result.origin = place->change.origin;
    result.name = place->change.record.name;
    refused.push_back(std::move(result));
    place = early_.erase(place);
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
    for (auto place = writers_.begin(); place != writers_.end(); ++place) {
      if (!place->second->idle()) continue;
      if (oldest == writers_.end() || place->second->last_used() < oldest->second->last_used()) {
        oldest = place;
      }
    }
    if (oldest == writers_.end()) return;
    total -= oldest->second->size();
    writers_.erase(oldest);
  }
}

}  // namespace hawthorndrum
