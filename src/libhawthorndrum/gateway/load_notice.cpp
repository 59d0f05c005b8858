/// Encodes load notices as CBOR arrays and decodes them.
#include "gateway/load_notice.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/cbor.h"
#include "base/cbor_reader.h"

namespace hawthorndrum {

namespace {

constexpr std::uint64_t kFormatVersion = 10;
/**
 * These limits keep a datagram below 6 KB: an upstream's work takes up to 39 bytes, a covered
 * notice 19 and an avoided upstream 14.
 */
constexpr std::size_t kMaxWork = 80;
constexpr std::size_t kMaxCovered = 40;
constexpr std::size_t kMaxNameLength = 64;
constexpr std::uint64_t kMaxSinceAnswerMs = 60000;
constexpr std::size_t kMaxAvoided = 64;
constexpr std::size_t kMaxDemands = 2;
constexpr std::size_t kMaxLimits = 8;
constexpr std::uint64_t kMaxLimitAgeMs = 60000;
/** Limits are sent in thousandths of a request a second; 0 means none. */
constexpr double kLimitUnit = 1000;

constexpr auto kLastReason = static_cast<std::uint64_t>(avoidance_reason::kWantsTime);

template <typename T>
boost::span<const T> First(const std::vector<T>& all, std::size_t max_count) {
  return {all.data(), std::min(all.size(), max_count)};
}

bool ReadWork(cbor_reader& from, load_notice& notice) {
  const nlohmann::json* items = from.Array(kMaxWork);
  if (items == nullptr) return false;
  for (const nlohmann::json& item : *items) {
    cbor_reader fields(item);
    reported_work work;
    work.upstream = upstream_id(fields.Unsigned());
    work.work.running = static_cast<std::uint32_t>(fields.Unsigned(UINT32_MAX));
    work.work.unread_tokens = fields.Unsigned(UINT32_MAX);
    work.work.memory_tokens = fields.Unsigned(UINT32_MAX);
    work.work.fetching_tokens = fields.Unsigned(UINT32_MAX);
    work.since_last_answer = milliseconds(fields.Unsigned(kMaxSinceAnswerMs));
    if (!fields.AtEnd()) return false;
    notice.work.push_back(work);
  }
  return true;
}

bool ReadCovers(cbor_reader& from, load_notice& notice) {
  const nlohmann::json* items = from.Array(kMaxCovered);
  if (items == nullptr) return false;
  for (const nlohmann::json& item : *items) {
    cbor_reader fields(item);
    const incarnation_id sender(fields.Unsigned());
    const std::uint64_t sequence = fields.Unsigned();
    if (!fields.AtEnd()) return false;
    notice.covers.push_back({sender, sequence});
  }
  return true;
}

bool ReadAvoided(cbor_reader& from, load_notice& notice) {
  const nlohmann::json* items = from.Array(kMaxAvoided);
  if (items == nullptr) return false;
  for (const nlohmann::json& item : *items) {
    cbor_reader fields(item);
    const upstream_id upstream(fields.Unsigned());
    const milliseconds avoid_for(fields.Unsigned(60000));
    const std::uint64_t reason = fields.Unsigned(kLastReason);
    if (!fields.AtEnd()) return false;
    notice.avoided.push_back({upstream, avoid_for, static_cast<avoidance_reason>(reason)});
  }
  return true;
}

bool ReadLimits(cbor_reader& from, load_notice& notice) {
  const nlohmann::json* items = from.Array(kMaxLimits);
  if (items == nullptr) return false;
  for (const nlohmann::json& item : *items) {
    cbor_reader fields(item);
    reported_limit limit;
    limit.upstream = upstream_id(fields.Unsigned());
    const std::uint64_t value = fields.Unsigned(UINT32_MAX);
    if (value > 0) limit.per_second = static_cast<double>(value) / kLimitUnit;
    limit.age = milliseconds(fields.Unsigned(kMaxLimitAgeMs));
    if (!fields.AtEnd()) return false;
    notice.limits.push_back(limit);
  }
  return true;
}

bool ReadDemand(cbor_reader& from, load_notice& notice) {
  const nlohmann::json* items = from.Array(kMaxDemands);
  if (items == nullptr) return false;
  for (const nlohmann::json& item : *items) {
    cbor_reader fields(item);
    reported_demand demand;
    demand.service = fields.Text(kMaxNameLength);
    demand.prefill_tokens_per_second = fields.Unsigned(UINT32_MAX);
    demand.speed_sum = fields.Unsigned(UINT32_MAX);
    demand.speed_count = fields.Unsigned(UINT32_MAX);
    if (!fields.AtEnd()) return false;
    notice.demand.push_back(std::move(demand));
  }
  return true;
}

}  // namespace

std::vector<std::uint8_t> EncodeLoadNotice(const load_notice& notice) {
  nlohmann::json work = nlohmann::json::array();
  std::vector<reported_work> sorted = notice.work;
  std::sort(sorted.begin(), sorted.end(), [](const reported_work& a, const reported_work& b) {
    return a.work.unread_tokens + a.work.fetching_tokens >
           b.work.unread_tokens + b.work.fetching_tokens;
  });
  for (const reported_work& each : First(sorted, kMaxWork)) {
    work.push_back({each.upstream.value(), each.work.running, each.work.unread_tokens,
                    each.work.memory_tokens, each.work.fetching_tokens,
                    std::min(static_cast<std::uint64_t>(ToMilliseconds(each.since_last_answer)),
                             kMaxSinceAnswerMs)});
  }
  nlohmann::json avoided = nlohmann::json::array();
  std::vector<reported_avoidance> by_reason = notice.avoided;
  std::stable_sort(by_reason.begin(), by_reason.end(),
                   [](const auto& a, const auto& b) { return a.reason < b.reason; });
  for (const reported_avoidance& each : First(by_reason, kMaxAvoided)) {
    avoided.push_back({each.upstream.value(),
                       static_cast<std::uint64_t>(ToMilliseconds(each.avoid_for)),
                       static_cast<std::uint64_t>(each.reason)});
  }
  nlohmann::json limits = nlohmann::json::array();
  std::vector<reported_limit> latest = notice.limits;
  std::sort(latest.begin(), latest.end(),
            [](const reported_limit& a, const reported_limit& b) { return a.age < b.age; });
  for (const reported_limit& each : First(latest, kMaxLimits)) {
    const double value = each.per_second.value_or(0) * kLimitUnit;
    const auto age = static_cast<std::uint64_t>(ToMilliseconds(each.age));
    limits.push_back({each.upstream.value(),
                      static_cast<std::uint64_t>(std::min<double>(value, UINT32_MAX)),
                      std::min(age, kMaxLimitAgeMs)});
  }
  nlohmann::json covers = nlohmann::json::array();
  for (const covered_notice& each : First(notice.covers, kMaxCovered)) {
    covers.push_back({each.sender.value(), each.sequence});
  }
  nlohmann::json demand = nlohmann::json::array();
  for (const reported_demand& each : First(notice.demand, kMaxDemands)) {
    demand.push_back(
        {each.service, each.prefill_tokens_per_second, each.speed_sum, each.speed_count});
  }
  return EncodeCbor(nlohmann::json::array(
      {kFormatVersion, notice.sender.value(), notice.sequence, notice.host, notice.data_centre,
       notice.config_version, notice.fleet_revision, std::move(covers), std::move(work),
       std::move(avoided), std::move(limits), std::move(demand)}));
}

expected<load_notice> DecodeLoadNotice(boost::span<const std::uint8_t> bytes) {
  const auto decoded = DecodeCbor(bytes);
  if (!decoded) return tl::make_unexpected(decoded.error());
  cbor_reader fields(*decoded);
  load_notice notice;
  const bool known = fields.Unsigned() == kFormatVersion;
  notice.sender = incarnation_id(fields.Unsigned());
  notice.sequence = fields.Unsigned();
  notice.host = fields.Text(kMaxNameLength);
  notice.data_centre = fields.Text(kMaxNameLength);
  notice.config_version = fields.Unsigned();
  notice.fleet_revision = fields.Unsigned();
  if (known && fields.ok() && ReadCovers(fields, notice) && ReadWork(fields, notice) &&
      ReadAvoided(fields, notice) && ReadLimits(fields, notice) && ReadDemand(fields, notice) &&
      fields.AtEnd() && notice.sender) {
    return notice;
  }
  return tl::make_unexpected(error{error_code::kInvalid, "not a load notice"});
}

}  // namespace hawthorndrum
