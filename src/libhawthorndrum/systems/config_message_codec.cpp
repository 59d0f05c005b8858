/// Encodes and decodes the peer messages about the configuration.
#include "systems/config_message_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/cbor.h"
#include "systems/config_codec.h"

namespace hawthorndrum {
namespace {

using json = nlohmann::json;

constexpr std::size_t kMaxAddressBytes = 64;
constexpr std::size_t kMaxDataCentreBytes = 64;

template <typename Message>
expected<Message> Malformed() {
  return tl::make_unexpected(error{error_code::kInvalid, "malformed message"});
}

peer_message Encode(peer_topic topic, const json& body) { return {topic, EncodeCbor(body)}; }

/** Returns the decoded body, or a discarded value, which has no members. */
json Parse(const peer_message& message) {
  expected<json> body = DecodeCbor(message.body);
  return body ? std::move(*body) : json(json::value_t::discarded);
}

json Binary(const content_digest& digest) {
  return json::binary(std::vector<std::uint8_t>(digest.bytes.begin(), digest.bytes.end()));
}

const json* Member(const json& object, const char* key) {
  if (!object.is_object()) return nullptr;
  const auto found = object.find(key);
  return found == object.end() ? nullptr : &*found;
}

bool ReadNumber(const json& object, const char* key, std::uint64_t& target) {
  const json* member = Member(object, key);
  if (member == nullptr || !member->is_number_unsigned()) return false;
  target = member->get<std::uint64_t>();
  return true;
}

bool ReadGeneration(const json& object, const char* key, generation& target) {
  std::uint64_t value = 0;
  if (!ReadNumber(object, key, value)) return false;
  target = generation(value);
  return true;
}

bool ReadText(const json& object, const char* key, std::size_t max_bytes, std::string& target) {
  const json* member = Member(object, key);
  if (member == nullptr || !member->is_string()) return false;
  target = member->get<std::string>();
  return target.size() <= max_bytes;
}

bool ReadFlag(const json& object, const char* key, bool& target) {
  const json* member = Member(object, key);
  if (member == nullptr || !member->is_boolean()) return false;
  target = member->get<bool>();
  return true;
}

bool ReadDigest(const json* member, content_digest& target) {
  if (member == nullptr || !member->is_binary()) return false;
  const auto& bytes = member->get_binary();
  if (bytes.size() != content_digest::kBytes) return false;
  std::copy(bytes.begin(), bytes.end(), target.bytes.begin());
  return true;
}

bool ReadLagging(const json* list, std::vector<lagging_daemon>& target) {
  if (list == nullptr || !list->is_array() || list->size() > kMaxLaggingListed) return false;
  for (const json& item : *list) {
    lagging_daemon daemon;
    if (!ReadText(item, "a", kMaxAddressBytes, daemon.address)) return false;
    if (!ReadGeneration(item, "g", daemon.number)) return false;
    target.push_back(std::move(daemon));
  }
  return true;
}

}  // namespace

peer_message EncodeMessage(const config_announcement& message) {
  return Encode(peer_topic::kConfigHead, json{{"g", message.number.value()},
                                              {"d", Binary(message.head)},
                                              {"a", message.address},
                                              {"c", message.data_centre}});
}

peer_message EncodeMessage(const config_request& message) {
  json parts = json::array();
  for (const content_digest& digest : message.parts) parts.push_back(Binary(digest));
  return Encode(peer_topic::kConfigRequest, json{{"p", std::move(parts)}});
}

peer_message EncodeMessage(const config_part_message& message) {
  const std::vector<std::uint8_t> bytes(message.bytes.begin(), message.bytes.end());
  return Encode(
      peer_topic::kConfigPart,
      json{{"d", Binary(message.digest)}, {"f", message.found}, {"b", json::binary(bytes)}});
}

peer_message EncodeMessage(const config_status& message) {
  json lagging = json::array();
  for (const lagging_daemon& daemon : message.lagging) {
    if (lagging.size() == kMaxLaggingListed) break;
    lagging.push_back({{"a", daemon.address}, {"g", daemon.number.value()}});
  }
  return Encode(peer_topic::kStatus, json{{"c", message.data_centre},
                                          {"n", message.daemons},
                                          {"g", message.lowest.value()},
                                          {"l", std::move(lagging)},
                                          {"f", message.forwarded}});
}

expected<config_announcement> DecodeAnnouncement(const peer_message& message) {
  const json body = Parse(message);
  config_announcement read;
  const bool valid = ReadGeneration(body, "g", read.number) &&
                     ReadDigest(Member(body, "d"), read.head) &&
                     ReadText(body, "a", kMaxAddressBytes, read.address) &&
                     ReadText(body, "c", kMaxDataCentreBytes, read.data_centre);
  if (!valid || (read.number && read.head.empty())) return Malformed<config_announcement>();
  return read;
}

expected<config_request> DecodeRequest(const peer_message& message) {
  const json body = Parse(message);
  const json* parts = Member(body, "p");
  if (parts == nullptr || !parts->is_array() || parts->size() > kMaxPartsPerRequest) {
    return Malformed<config_request>();
  }
  config_request read;
  for (const json& part : *parts) {
    content_digest digest;
    if (!ReadDigest(&part, digest)) return Malformed<config_request>();
    read.parts.push_back(digest);
  }
  return read;
}

expected<config_part_message> DecodePart(const peer_message& message) {
  const json body = Parse(message);
  config_part_message read;
  const json* bytes = Member(body, "b");
  const bool valid = ReadDigest(Member(body, "d"), read.digest) &&
                     ReadFlag(body, "f", read.found) && bytes != nullptr && bytes->is_binary() &&
                     bytes->get_binary().size() <= kMaxPartBytes;
  if (!valid) return Malformed<config_part_message>();
  read.bytes.assign(bytes->get_binary().begin(), bytes->get_binary().end());
  return read;
}

expected<config_status> DecodeStatus(const peer_message& message) {
  const json body = Parse(message);
  config_status read;
  std::uint64_t daemons = 0;
  const bool valid = ReadText(body, "c", kMaxDataCentreBytes, read.data_centre) &&
                     ReadNumber(body, "n", daemons) && ReadGeneration(body, "g", read.lowest) &&
                     ReadLagging(Member(body, "l"), read.lagging) &&
                     ReadFlag(body, "f", read.forwarded);
  constexpr std::uint64_t kMaxDaemons = 100'000;
  if (!valid || daemons > kMaxDaemons) return Malformed<config_status>();
  read.daemons = static_cast<std::uint32_t>(daemons);
  return read;
}

}  // namespace hawthorndrum
