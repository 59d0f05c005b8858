/// Encodes teams' rates as a CBOR array: kind, version, sender, rows.
#include "teams/share_message.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <string>

#include "base/cbor.h"
#include "base/cbor_fields.h"

namespace hawthorndrum {

namespace {

constexpr char kKind[] = "team_shares";
constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kMinItems = 4;
constexpr std::size_t kMinRowItems = 5;
constexpr std::size_t kMaxRows = 256;
constexpr double kMaxRate = 1e12;

std::uint64_t Whole(double rate) {
  return static_cast<std::uint64_t>(std::llround(std::clamp(rate, 0.0, kMaxRate)));
}

bool ReadRow(const nlohmann::json& item, team_rate& row) {
  std::uint64_t priority = 0;
  std::uint64_t asked = 0;
  std::uint64_t admitted = 0;
  if (!item.is_array() || item.size() < kMinRowItems) return false;
  if (!ReadField(item[0], row.place.service) || !ReadField(item[1], priority) ||
      !ReadField(item[2], row.place.team) || !ReadField(item[3], asked) ||
      !ReadField(item[4], admitted) || priority > UINT8_MAX)
    return false;
  row.place.priority = static_cast<int>(priority);
  row.asked = std::min(static_cast<double>(asked), kMaxRate);
  row.admitted = std::min(static_cast<double>(admitted), row.asked);
  return true;
}

}  // namespace

std::vector<std::uint8_t> EncodeShareMessage(const share_message& message) {
  nlohmann::json rows = nlohmann::json::array();
  for (const team_rate& each : message.rates) {
    rows.push_back({each.place.service,
                    static_cast<std::uint64_t>(std::max(0, each.place.priority)), each.place.team,
                    Whole(each.asked), Whole(each.admitted)});
  }
  return EncodeCbor(
      nlohmann::json::array({kKind, kVersion, message.sender.value(), std::move(rows)}));
}

expected<share_message> DecodeShareMessage(boost::span<const std::uint8_t> bytes) {
  const auto invalid = [] {
    return tl::make_unexpected(error{error_code::kInvalid, "not a message about teams' shares"});
  };
  const auto decoded = DecodeCbor(bytes);
  if (!decoded || !decoded->is_array() || decoded->size() < kMinItems) return invalid();
  const nlohmann::json& items = *decoded;
  if (!items[0].is_string() || items[0].get_ref<const std::string&>() != kKind) return invalid();
  share_message message;
  std::uint64_t version = 0;
  if (!ReadField(items[1], version) || version == 0 || !ReadIdField(items[2], message.sender) ||
      !items[3].is_array() || items[3].size() > kMaxRows)
    return invalid();
  for (const nlohmann::json& item : items[3]) {
    team_rate row;
    if (ReadRow(item, row)) message.rates.push_back(row);
  }
  return message;
}

}  // namespace hawthorndrum
