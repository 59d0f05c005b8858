/// Encodes messages about crashes as CBOR arrays and decodes them.
#include "crashes/crash_message.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/cbor.h"
#include "base/cbor_reader.h"

namespace hawthorndrum {

namespace {

/** Other messages on the same socket have other numbers here. */
constexpr std::uint64_t kFormatVersion = 1101;
constexpr auto kLastKind = static_cast<std::uint64_t>(crash_message_kind::kAnswer);
/** Largest encoded sizes of the parts of a message. */
constexpr std::size_t kHeadBytes = 8;
constexpr std::size_t kRowBytes = 24;
constexpr std::size_t kLossBytes = 20;
constexpr std::size_t kMaxRows = 64;
/** Older times are sent as this age. */
constexpr std::uint64_t kMaxAgeMs = 3600 * 1000;

std::uint64_t AgeMs(time_point at, time_point now) {
  return static_cast<std::uint64_t>(
      std::clamp<std::int64_t>(ToMilliseconds(now - at), 0, kMaxAgeMs));
}

std::size_t LossesSent(const suspect_row& row) {
  return std::min(row.losses.size(), crash_message::kMaxLosses);
}

std::size_t BytesOf(const suspect_row& row) { return kRowBytes + kLossBytes * LossesSent(row); }

/** Ages are sent plus one; 0 means that there is no such time. */
std::optional<time_point> ReadOptionalAge(cbor_reader& from, time_point now) {
  const std::uint64_t age = from.Unsigned(kMaxAgeMs + 1);
  if (age == 0) return std::nullopt;
  return now - milliseconds(age - 1);
}

bool ReadRow(const nlohmann::json& item, time_point now, suspect_row& row) {
  cbor_reader fields(item);
  row.about.id = suspect_id(fields.Unsigned());
  row.about.depth = static_cast<std::uint8_t>(fields.Unsigned(UINT8_MAX));
  row.sound_at = ReadOptionalAge(fields, now);
  row.asked_at = ReadOptionalAge(fields, now).value_or(time_point());
  while (fields.HasMore() && row.losses.size() < crash_message::kMaxLosses) {
    upstream_loss loss;
    loss.upstream = upstream_id(fields.Unsigned());
    loss.at = now - milliseconds(fields.Unsigned(kMaxAgeMs));
    loss.sent_at = loss.at - milliseconds(fields.Unsigned(kMaxAgeMs));
    row.losses.push_back(loss);
  }
  return fields.AtEnd() && row.about.id;
}

}  // namespace

bool crash_message::HasRoomFor(const suspect_row& row) const {
  std::size_t bytes = kHeadBytes + BytesOf(row);
  for (const suspect_row& each : rows) bytes += BytesOf(each);
  return bytes <= kMaxBytes;
}

std::vector<std::uint8_t> EncodeCrashMessage(const crash_message& message, time_point now) {
  nlohmann::json rows = nlohmann::json::array();
  for (const suspect_row& row : message.rows) {
    nlohmann::json item = {row.about.id.value(), row.about.depth,
                           row.sound_at ? AgeMs(*row.sound_at, now) + 1 : 0,
                           row.asked_at == time_point() ? 0 : AgeMs(row.asked_at, now) + 1};
    for (std::size_t i = row.losses.size() - LossesSent(row); i < row.losses.size(); ++i) {
      const upstream_loss& loss = row.losses[i];
      item.push_back(loss.upstream.value());
      item.push_back(AgeMs(loss.at, now));
      item.push_back(AgeMs(loss.sent_at, loss.at));
    }
    rows.push_back(std::move(item));
  }
  return EncodeCbor(nlohmann::json::array(
      {kFormatVersion, static_cast<std::uint64_t>(message.kind), std::move(rows)}));
}

expected<crash_message> DecodeCrashMessage(boost::span<const std::uint8_t> bytes, time_point now) {
  const auto decoded = DecodeCbor(bytes);
  if (!decoded) return tl::make_unexpected(decoded.error());
  cbor_reader fields(*decoded);
  crash_message message;
  bool valid = fields.Unsigned() == kFormatVersion;
  message.kind = static_cast<crash_message_kind>(fields.Unsigned(kLastKind));
  const nlohmann::json* rows = valid ? fields.Array(kMaxRows) : nullptr;
  valid = valid && rows != nullptr && fields.AtEnd();
  if (valid) {
    for (const nlohmann::json& item : *rows) {
      suspect_row row;
      valid = valid && ReadRow(item, now, row);
      message.rows.push_back(std::move(row));
    }
  }
  if (valid) return message;
  return tl::make_unexpected(error{error_code::kInvalid, "not a message about crashes"});
}

}  // namespace hawthorndrum
