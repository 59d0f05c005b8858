/// Encodes feed messages as CBOR arrays; items after the known ones are skipped.
#include "feed/feed_message.h"

#include <nlohmann/json.hpp>
#include <string>

#include "base/cbor.h"
#include "base/cbor_reader.h"

namespace hawthorndrum {

namespace {

constexpr char kKind[] = "feed";
constexpr std::uint64_t kFormatVersion = 1;
constexpr std::size_t kMaxNameLength = 256;
constexpr auto kLastKind = static_cast<std::uint64_t>(feed_message_kind::kQuestion);

bool ReadChange(const nlohmann::json& item, object_change& change) {
  cbor_reader fields(item);
  change.name = fields.Text(kMaxNameLength);
  change.revision = fields.Unsigned();
  // A removal has no content.
  if (fields.HasMore()) change.content = fields.Text(feed_message::kMaxContentLength);
  return fields.ok();
}

}  // namespace

std::vector<std::uint8_t> EncodeFeedMessage(const feed_message& message) {
  nlohmann::json changes = nlohmann::json::array();
  for (const object_change& each : message.changes) {
    nlohmann::json item = nlohmann::json::array({each.name, each.revision});
    if (each.content) item.push_back(*each.content);
    changes.push_back(std::move(item));
  }
  nlohmann::json items =
      nlohmann::json::array({kKind, kFormatVersion, static_cast<std::uint64_t>(message.kind),
                             message.from, message.to, message.newest_change, std::move(changes)});
  if (message.era != 0) items.push_back(message.era);
  return EncodeCbor(items);
}

expected<feed_message> DecodeFeedMessage(boost::span<const std::uint8_t> bytes) {
  const auto decoded = DecodeCbor(bytes);
  if (!decoded) return tl::make_unexpected(decoded.error());
  cbor_reader fields(*decoded);
  const bool is_feed = fields.Text(kMaxNameLength) == kKind;
  const bool is_known = fields.Unsigned() == kFormatVersion;
  feed_message message;
  message.kind = static_cast<feed_message_kind>(fields.Unsigned(kLastKind));
  message.from = fields.Unsigned();
  message.to = fields.Unsigned();
  message.newest_change = fields.Unsigned();
  const nlohmann::json* changes = fields.Array(feed_message::kMaxChanges);
  if (fields.HasMore()) message.era = fields.Unsigned();
  bool ok = is_feed && is_known && fields.ok() && message.from <= message.to;
  for (std::size_t i = 0; ok && i < changes->size(); ++i) {
    ok = ReadChange((*changes)[i], message.changes.emplace_back());
  }
  if (ok) return message;
  return tl::make_unexpected(error{error_code::kInvalid, "not a message of a feed"});
}

}  // namespace hawthorndrum
