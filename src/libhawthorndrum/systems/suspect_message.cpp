/// The peer message about strikes and convictions (topic kSuspect).
#include "systems/suspect_message.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/cbor.h"

namespace hawthorndrum {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxUpdates = 1024;
constexpr std::size_t kMaxStrikes = 8;
constexpr std::int64_t kMaxConvictionMs = 3600 * 1000;

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

bool ReadStrike(const json& from, strike_update& into) {
  if (!ReadEvent(from, into.event) || from.size() != 3 || !from[2].is_boolean()) return false;
  into.alone = from[2].get<bool>();
  return true;
}

bool ReadUpdate(const json& from, fingerprint_update& into) {
  if (!from.is_array() || from.size() != 4) return false;
  std::uint64_t convicted_ms = 0;
  if (!ReadNumber(from[0], into.fingerprint) || into.fingerprint == 0) return false;
  if (!from[1].is_array() || from[1].size() > kMaxStrikes) return false;
  for (const json& one : from[1]) {
    if (!ReadStrike(one, into.strikes.emplace_back())) return false;
  }
  if (!ReadNumber(from[2], convicted_ms) || !from[3].is_boolean()) return false;
  if (convicted_ms > static_cast<std::uint64_t>(kMaxConvictionMs)) return false;
  into.convicted_for = milliseconds(static_cast<std::int64_t>(convicted_ms));
  into.cleared = from[3].get<bool>();
  return true;
}

}  // namespace

peer_message Encode(const suspect_message& message) {
  json updates = json::array();
  for (const fingerprint_update& one : message.updates) {
    json strikes = json::array();
    for (const strike_update& strike : one.strikes) {
      strikes.push_back({strike.event.upstream.value(), strike.event.incarnation, strike.alone});
    }
    const auto convicted_ms = static_cast<std::uint64_t>(ToMilliseconds(one.convicted_for));
    updates.push_back({one.fingerprint, std::move(strikes), convicted_ms, one.cleared});
  }
  json alive = json::array();
  for (const crash_event& event : message.alive) {
    alive.push_back({event.upstream.value(), event.incarnation});
  }
  json body = json::object();
  body["news"] = std::move(updates);
  body["alive"] = std::move(alive);
  return {peer_topic::kSuspect, EncodeCbor(body)};
}

expected<suspect_message> DecodeSuspect(const peer_message& message) {
  const auto bad = tl::make_unexpected(error{error_code::kInvalid, "malformed suspect message"});
  const auto decoded = DecodeCbor(message.body);
  if (!decoded || !decoded->is_object()) return bad;
  const json& body = *decoded;
  const auto updates = body.find("news");
  const auto alive = body.find("alive");
  if (updates == body.end() || !updates->is_array() || updates->size() > kMaxUpdates) return bad;
  if (alive == body.end() || !alive->is_array() || alive->size() > kMaxUpdates) return bad;
  suspect_message read;
  for (const json& one : *updates) {
    if (!ReadUpdate(one, read.updates.emplace_back())) return bad;
  }
  for (const json& one : *alive) {
    if (!ReadEvent(one, read.alive.emplace_back())) return bad;
  }
  return read;
}

}  // namespace hawthorndrum
