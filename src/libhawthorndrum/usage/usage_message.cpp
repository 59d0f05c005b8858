/// Encodes messages about usage as CBOR arrays and decodes them.
#include "usage/usage_message.h"

#include <nlohmann/json.hpp>

#include "base/cbor.h"
#include "base/cbor_reader.h"

namespace hawthorndrum {

namespace {

constexpr char kCountsKind[] = "usage_counts";
constexpr char kHeardKind[] = "usage_heard";
constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kLongestKind = 32;
constexpr std::size_t kLongestTeam = 512;
constexpr std::size_t kMaxItems = 8192;
/** Teams' names and counts in one datagram, in bytes. */
constexpr std::size_t kCountsBytes = 1100;
/** What a count adds to its team's name, at most. */
constexpr std::size_t kBytesOfCount = 12;

expected<usage_counts_message> Malformed() {
  return tl::make_unexpected(error{error_code::kInvalid, "not a message about usage"});
}

nlohmann::json HeadOf(const usage_counts_message& message) {
  return nlohmann::json::array({kCountsKind, kVersion, message.counter.value(), message.clock_ms,
                                message.window, message.began,
                                static_cast<std::uint64_t>(message.closed),
                                static_cast<std::uint64_t>(message.forwarded), message.total});
}

}  // namespace

std::vector<std::vector<std::uint8_t>> EncodeUsageCounts(const usage_counts_message& message) {
  std::vector<std::vector<std::uint8_t>> datagrams;
  auto next = message.counts.begin();
  do {
    nlohmann::json counts = nlohmann::json::array();
    for (std::size_t bytes = 0; next != message.counts.end() && bytes < kCountsBytes; ++next) {
      bytes += next->first.size() + kBytesOfCount;
      counts.push_back(next->first);
      counts.push_back(next->second);
    }
    nlohmann::json items = HeadOf(message);
    items.push_back(std::move(counts));
    if (message.next != 0) items.push_back(message.next);
    datagrams.push_back(EncodeCbor(items));
  } while (next != message.counts.end());
  return datagrams;
}

expected<usage_counts_message> DecodeUsageCounts(boost::span<const std::uint8_t> bytes) {
  const auto decoded = DecodeCbor(bytes);
  if (!decoded) return tl::make_unexpected(decoded.error());
  cbor_reader fields(*decoded);
  if (fields.Text(kLongestKind) != kCountsKind || fields.Unsigned() < kVersion) return Malformed();
  usage_counts_message message;
  message.counter = incarnation_id(fields.Unsigned());
  message.clock_ms = fields.Unsigned();
  message.window = fields.Unsigned();
  message.began = fields.Unsigned();
  message.closed = fields.Unsigned() != 0;
  message.forwarded = fields.Unsigned() != 0;
  message.total = fields.Unsigned();
  const nlohmann::json* items = fields.Array(kMaxItems);
  if (items == nullptr || !message.counter) return Malformed();
  if (fields.HasMore()) message.next = fields.Unsigned();
  cbor_reader counts(*items);
  while (counts.HasMore()) {
    std::string team = counts.Text(kLongestTeam);
    const std::uint64_t count = counts.Unsigned();
    if (!counts.ok() || team.empty()) return Malformed();
    message.counts[std::move(team)] = count;
  }
  return message;
}

std::vector<std::uint8_t> EncodeUsageHeard(const usage_heard_message& message) {
  return EncodeCbor(
      nlohmann::json::array({kHeardKind, kVersion, message.term.value(), message.clock_ms,
                             message.next, message.window, message.total}));
}

expected<usage_heard_message> DecodeUsageHeard(boost::span<const std::uint8_t> bytes) {
  const auto decoded = DecodeCbor(bytes);
  if (!decoded) return tl::make_unexpected(decoded.error());
  cbor_reader fields(*decoded);
  const bool known = fields.Text(kLongestKind) == kHeardKind && fields.Unsigned() >= kVersion;
  usage_heard_message message;
  message.term = lease_term(fields.Unsigned());
  message.clock_ms = fields.Unsigned();
  message.next = fields.Unsigned();
  message.window = fields.Unsigned();
  message.total = fields.Unsigned();
  if (known && fields.ok() && message.term) return message;
  return tl::make_unexpected(error{error_code::kInvalid, "not a message about usage"});
}

}  // namespace hawthorndrum
