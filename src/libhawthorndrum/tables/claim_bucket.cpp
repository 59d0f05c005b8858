/// Size and encoding of buckets, and the assignment of claims to them.
#include "tables/claim_bucket.h"

#include <nlohmann/json.hpp>

#include "base/cbor_fields.h"
#include "base/hash.h"
#include "tables/claim_codec.h"

namespace hawthorndrum {

namespace {

using json = nlohmann::json;

constexpr std::uint64_t kFormat = 1;
constexpr std::uint64_t kPlacementSeed = 0x636c61696d;
constexpr std::size_t kBucketOverhead = 32;
/** Five ids of 9 bytes each, small numbers, and the CBOR heads of arrays and strings. */
constexpr std::size_t kRecordOverhead = 96;
constexpr std::size_t kHeaderOverhead = 16;
constexpr std::size_t kMovesEntry = 9;

error Malformed(std::string what) {
  return {error_code::kInvalid, "claim bucket: " + std::move(what)};
}

}  // namespace

std::string_view ToText(claim_state state) {
  switch (state) {
    case claim_state::kClaimed:
      return "claimed";
    case claim_state::kDone:
      return "done";
    case claim_state::kNotRun:
      return "not_run";
    case claim_state::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::size_t StoredSize(const claim_record& record) {
  std::size_t size = kRecordOverhead + record.name.service.size() + record.name.key.size();
  if (record.state != claim_state::kDone) return size;
  for (const http_header& header : record.answer.headers) {
    size += kHeaderOverhead + header.name.size() + header.value.size();
  }
  return size + record.answer.body.size();
}

std::size_t StoredSize(const claim_bucket& bucket) {
  std::size_t size = kBucketOverhead + bucket.moves.size() * kMovesEntry;
  for (const auto& [name, record] : bucket.records) size += StoredSize(record);
  return size;
}

std::string EncodeBucket(const claim_bucket& bucket) {
  json records = json::array();
  for (const auto& [name, record] : bucket.records) records.push_back(RecordToJson(record));
  return EncodeCborText(json::array({kFormat, bucket.epoch, std::move(records), bucket.moves}));
}

expected<claim_bucket> DecodeBucket(std::string_view value) {
  const expected<json> item = DecodeCborText(value);
  if (!item) return tl::unexpected(item.error());
  if (!item->is_array() || item->size() != 4) return tl::unexpected(Malformed("not four fields"));
  std::uint64_t format = 0;
  claim_bucket bucket;
  if (!ReadField((*item)[0], format) || format != kFormat) {
    return tl::unexpected(Malformed("another format"));
  }
  if (!ReadField((*item)[1], bucket.epoch)) return tl::unexpected(Malformed("epoch"));
  if (!(*item)[2].is_array()) return tl::unexpected(Malformed("records"));
  if (!(*item)[3].is_array()) return tl::unexpected(Malformed("moves"));
  for (const json& stored : (*item)[3]) {
    std::uint64_t moves = 0;
    if (!ReadField(stored, moves)) return tl::unexpected(Malformed("moves"));
    bucket.moves.push_back(moves);
  }
  for (const json& stored : (*item)[2]) {
    claim_record record;
    if (!RecordFromJson(stored, record)) return tl::unexpected(Malformed("record"));
    claim_name name = record.name;
    if (!bucket.records.emplace(std::move(name), std::move(record)).second) {
      return tl::unexpected(Malformed("two records of one key"));
    }
  }
  return bucket;
}

std::uint32_t BucketOf(const claim_name& name, std::uint32_t buckets) {
  // The service's own hash is the seed, so that two names can't concatenate to the same text.
  const std::uint64_t seed = Hash64(name.service, kPlacementSeed);
  return static_cast<std::uint32_t>(Hash64(name.key, seed) % buckets);
}

}  // namespace hawthorndrum
