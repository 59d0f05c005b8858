/// CBOR encoding of the membership messages.
#include "systems/membership_messages.h"

#include "base/cbor.h"
#include "base/cbor_reader.h"
#include "base/hash.h"

namespace hawthorndrum {

namespace {

constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxMembers = 2048;

using json = nlohmann::json;

peer_message Message(peer_topic topic, const json& body) { return {topic, EncodeCbor(body)}; }

}  // namespace

peer_message Encode(const heartbeat_message& message) {
  return Message(peer_topic::kHeartbeat, json::array({message.view_hash}));
}

peer_message Encode(const probe_request& message) {
  return Message(peer_topic::kProbeRequest, json::array({message.target.value()}));
}

peer_message Encode(const probe_answer& message) {
  return Message(peer_topic::kProbeAnswer,
                 json::array({message.target.value(), message.incarnation.value(),
                              static_cast<std::uint64_t>(ToMilliseconds(message.age))}));
}

peer_message Encode(const members_message& message) {
  json body = json::array();
  for (const daemon_identity& member : message.members) {
    body.push_back(json::array(
        {member.address, member.incarnation.value(), member.data_centre, member.region}));
  }
  return Message(peer_topic::kMembers, body);
}

std::optional<heartbeat_message> DecodeHeartbeat(const peer_message& message) {
  const expected<json> body = DecodeCbor(message.body);
  if (!body) return std::nullopt;
  cbor_reader fields(*body);
  const heartbeat_message decoded{fields.Unsigned()};
  if (!fields.ok()) return std::nullopt;
  return decoded;
}

std::optional<probe_request> DecodeProbeRequest(const peer_message& message) {
  const expected<json> body = DecodeCbor(message.body);
  if (!body) return std::nullopt;
  cbor_reader fields(*body);
  const probe_request decoded{peer_id(fields.Unsigned())};
  if (!fields.ok()) return std::nullopt;
  return decoded;
}

std::optional<probe_answer> DecodeProbeAnswer(const peer_message& message) {
  const expected<json> body = DecodeCbor(message.body);
  if (!body) return std::nullopt;
  cbor_reader fields(*body);
  probe_answer decoded;
  decoded.target = peer_id(fields.Unsigned());
  decoded.incarnation = incarnation_id(fields.Unsigned());
  decoded.age = milliseconds(fields.Unsigned(1000 * 1000));
  if (!fields.ok()) return std::nullopt;
  return decoded;
}

std::optional<members_message> DecodeMembers(const peer_message& message) {
  const expected<json> body = DecodeCbor(message.body);
  if (!body || !body->is_array() || body->size() > kMaxMembers) return std::nullopt;
  members_message decoded;
  for (const json& item : *body) {
    cbor_reader fields(item);
    daemon_identity member;
    member.address = fields.Text(kMaxNameBytes);
    member.incarnation = incarnation_id(fields.Unsigned());
    member.data_centre = fields.Text(kMaxNameBytes);
    member.region = fields.Text(kMaxNameBytes);
    if (!fields.ok() || member.address.empty()) return std::nullopt;
    member.id = PeerIdOf(member.address);
    decoded.members.push_back(std::move(member));
  }
  return decoded;
}

}  // namespace hawthorndrum
