/// JSON encoding of the lease record.
#include "systems/lease_record.h"

#include <nlohmann/json.hpp>

#include "systems/json_fields.h"

namespace hawthorndrum {
namespace {

constexpr std::uint64_t kLongestLeaseMs = 3'600'000;

}  // namespace

std::string EncodeLease(const lease_record& record) {
  const nlohmann::json object = {
      {"term", record.term.value()},
      {"holder", record.holder.value()},
      {"incarnation", record.incarnation.value()},
      {"nonce", record.nonce},
      {"length_ms", static_cast<std::uint64_t>(ToMilliseconds(record.length))}};
  return object.dump();
}

expected<lease_record> DecodeLease(std::string_view text) {
  const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
  json_fields fields(object);
  lease_record record;
  record.term = lease_term(fields.Unsigned("term", kLargestTermOfEras));
  record.holder = peer_id(fields.Unsigned("holder"));
  record.incarnation = incarnation_id(fields.Unsigned("incarnation"));
  record.nonce = fields.Unsigned("nonce");
  record.length = milliseconds(fields.Unsigned("length_ms", kLongestLeaseMs));
  if (!fields.ok()) return tl::unexpected(error{error_code::kInvalid, "malformed lease record"});
  return record;
}

}  // namespace hawthorndrum
