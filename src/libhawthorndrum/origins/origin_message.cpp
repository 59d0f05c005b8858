/// Encodes messages about origins as flat CBOR arrays and decodes them.
#include "origins/origin_message.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/cbor.h"
#include "base/cbor_reader.h"

namespace hawthorndrum {

namespace {

/** Load notices, which share the socket, have small numbers here. */
constexpr std::uint64_t kFormatVersion = 1001;

constexpr auto kLastKind = static_cast<std::uint64_t>(origin_message_kind::kAnswer);

}  // namespace

std::vector<std::uint8_t> EncodeOriginMessage(const origin_message& message) {
  nlohmann::json items =
      nlohmann::json::array({kFormatVersion, static_cast<std::uint64_t>(message.kind)});
  const std::size_t count = std::min(message.origins.size(), origin_message::kMaxOrigins);
  for (std::size_t i = 0; i < count; ++i) {
    items.push_back(message.origins[i].key.value());
    items.push_back(message.origins[i].build.value());
  }
  return EncodeCbor(items);
}

expected<origin_message> DecodeOriginMessage(boost::span<const std::uint8_t> bytes) {
  const auto decoded = DecodeCbor(bytes);
  if (!decoded) return tl::make_unexpected(decoded.error());
  cbor_reader fields(*decoded);
  const bool known = fields.Unsigned() == kFormatVersion;
  origin_message message;
  message.kind = static_cast<origin_message_kind>(fields.Unsigned(kLastKind));
  while (known && fields.HasMore() && message.origins.size() < origin_message::kMaxOrigins) {
    const stream_key key(fields.Unsigned());
    const software_build build(fields.Unsigned());
    message.origins.push_back({key, build});
  }
  if (known && fields.AtEnd() && !message.origins.empty()) return message;
  return tl::make_unexpected(error{error_code::kInvalid, "not a message about origins"});
}

}  // namespace hawthorndrum
