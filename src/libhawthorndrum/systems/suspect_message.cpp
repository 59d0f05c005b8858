/// The peer message about suspects (topic kSuspect).
#include "systems/suspect_message.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/cbor.h"

namespace hawthorndrum {

namespace {

using nlohmann::json;

constexpr std::size_t kMostNews = 1024;
constexpr std::size_t kMostStrikes = 8;
constexpr std::int64_t kLongestConvictionMs = 3600 * 1000;

bool ReadNumber(const json& from, std::uint64_t& into) {
  if (!from.is_number_unsigned()) return false;
  into = from.get<std::uint64_t>();
  return true;
}

bool ReadEvent(const json& from, crash_event& into) {
  std::uint64_t upstream = 0;
  if (!from.is_array() || from.size() < 2) return false;
  if (!ReadNumber(from[0], upstream) || !ReadNumber(from[1], into.incarnation)) return false;
  into.upstream = upstream_id(upstream);
  return true;
}

bool ReadStrike(const json& from, strike_news& into) {
  if (!ReadEvent(from, into.event) || from.size() != 3 || !from[2].is_boolean()) return false;
  into.alone = from[2].get<bool>();
  return true;
}

bool ReadNews(const json& from, fingerprint_news& into) {
  if (!from.is_array() || from.size() != 4) return false;
  std::uint64_t convicted_ms = 0;
  if (!ReadNumber(from[0], into.fingerprint) || into.fingerprint == 0) return false;
  if (!from[1].is_array() || from[1].size() > kMostStrikes) return false;
  for (const json& one : from[1]) {
    if (!ReadStrike(one, into.strikes.emplace_back())) return false;
  }
  if (!ReadNumber(from[2], convicted_ms) || !from[3].is_boolean()) return false;
  if (convicted_ms > static_cast<std::uint64_t>(kLongestConvictionMs)) return false;
  into.convicted_for = milliseconds(static_cast<std::int64_t>(convicted_ms));
  into.cleared = from[3].get<bool>();
  return true;
}

}  // namespace

peer_message Encode(const suspect_message& message) {
  json news = json::array();
  for (const fingerprint_news& one : message.news) {
    json strikes = json::array();
    for (const strike_news& strike : one.strikes) {
      strikes.push_back({strike.event.upstream.value(), strike.event.incarnation, strike.alone});
    }
    const auto convicted_ms = static_cast<std::uint64_t>(ToMilliseconds(one.convicted_for));
    news.push_back({one.fingerprint, std::move(strikes), convicted_ms, one.cleared});
  }
  json alive = json::array();
  for (const crash_event& event : message.alive) {
    alive.push_back({event.upstream.value(), event.incarnation});
  }
  json body = json::object();
  body["news"] = std::move(news);
  body["alive"] = std::move(alive);
  return {peer_topic::kSuspect, EncodeCbor(body)};
}

expected<suspect_message> DecodeSuspect(const peer_message& message) {
  const auto bad = tl::make_unexpected(error{error_code::kInvalid, "not a suspect message"});
  const auto decoded = DecodeCbor(message.body);
  if (!decoded || !decoded->is_object()) return bad;
  const json& body = *decoded;
  const auto news = body.find("news");
  const auto alive = body.find("alive");
  if (news == body.end() || !news->is_array() || news->size() > kMostNews) return bad;
  if (alive == body.end() || !alive->is_array() || alive->size() > kMostNews) return bad;
  suspect_message read;
  for (const json& one : *news) {
    if (!ReadNews(one, read.news.emplace_back())) return bad;
  }
  for (const json& one : *alive) {
    if (!ReadEvent(one, read.alive.emplace_back())) return bad;
  }
  return read;
}

}  // namespace hawthorndrum
