/// CBOR encoding of the leaving message: [[id...], [[id, version, drain]...]].
#include "systems/leaving_messages.h"

#include "base/cbor.h"
#include "base/cbor_reader.h"

namespace hawthorndrum {

namespace {

constexpr std::size_t kMaxUpstreams = 8192;

using json = nlohmann::json;

}  // namespace

peer_message Encode(const leaving_message& message) {
  json seen = json::array();
  for (const upstream_id id : message.seen) seen.push_back(id.value());
  json wishes = json::array();
  for (const drain_wish& wish : message.wishes) {
    wishes.push_back(json::array({wish.id.value(), wish.version, wish.drain ? 1u : 0u}));
  }
  return {peer_topic::kUpstreamLeaving, EncodeCbor(json::array({seen, wishes}))};
}

std::optional<leaving_message> DecodeLeaving(const peer_message& message) {
  const expected<json> body = DecodeCbor(message.body);
  if (!body) return std::nullopt;
  cbor_reader fields(*body);
  const json* seen = fields.Array(kMaxUpstreams);
  const json* wishes = fields.Array(kMaxUpstreams);
  if (!fields.ok()) return std::nullopt;
  leaving_message decoded;
  cbor_reader ids(*seen);
  while (ids.HasMore()) decoded.seen.emplace_back(ids.Unsigned());
  if (!ids.ok()) return std::nullopt;
  for (const json& item : *wishes) {
    cbor_reader wish(item);
    const upstream_id id(wish.Unsigned());
    const std::uint64_t version = wish.Unsigned();
    const bool drain = wish.Unsigned(1) == 1;
    if (!wish.ok()) return std::nullopt;
    decoded.wishes.push_back({id, version, drain});
  }
  return decoded;
}

}  // namespace hawthorndrum
