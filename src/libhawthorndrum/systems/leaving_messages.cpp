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
  json drain_requests = json::array();
  for (const operator_drain& request : message.drain_requests) {
    drain_requests.push_back(
        json::array({request.id.value(), request.version, request.drain ? 1u : 0u}));
  }
  return {peer_topic::kUpstreamLeaving, EncodeCbor(json::array({seen, drain_requests}))};
}

std::optional<leaving_message> DecodeLeaving(const peer_message& message) {
  const expected<json> body = DecodeCbor(message.body);
  if (!body) return std::nullopt;
  cbor_reader fields(*body);
  const json* seen = fields.Array(kMaxUpstreams);
  const json* drain_requests = fields.Array(kMaxUpstreams);
  if (!fields.ok()) return std::nullopt;
  leaving_message decoded;
  cbor_reader ids(*seen);
  while (ids.HasMore()) decoded.seen.emplace_back(ids.Unsigned());
  if (!ids.ok()) return std::nullopt;
  for (const json& item : *drain_requests) {
    cbor_reader request(item);
    const upstream_id id(request.Unsigned());
    const std::uint64_t version = request.Unsigned();
    const bool drain = request.Unsigned(1) == 1;
    if (!request.ok()) return std::nullopt;
    decoded.drain_requests.push_back({id, version, drain});
  }
  return decoded;
}

}  // namespace hawthorndrum
