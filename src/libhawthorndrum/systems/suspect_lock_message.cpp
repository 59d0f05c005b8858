/// The peer message about the lock to run a suspect (topic kSuspectLock).
#include "systems/suspect_lock_message.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/cbor.h"

namespace hawthorndrum {

peer_message Encode(const suspect_lock_message& message) {
  const nlohmann::json body = {static_cast<std::uint64_t>(message.verb), message.fingerprint,
                               message.upstream.value()};
  return {peer_topic::kSuspectLock, EncodeCbor(body)};
}

expected<suspect_lock_message> DecodeSuspectLock(const peer_message& message) {
  const auto bad =
      tl::make_unexpected(error{error_code::kInvalid, "malformed suspect lock message"});
  const auto decoded = DecodeCbor(message.body);
  if (!decoded || !decoded->is_array() || decoded->size() != 3) return bad;
  const nlohmann::json& body = *decoded;
  for (const nlohmann::json& field : body) {
    if (!field.is_number_unsigned()) return bad;
  }
  const auto verb = body[0].get<std::uint64_t>();
  if (verb < static_cast<std::uint64_t>(suspect_lock_verb::kRequest) ||
      verb > static_cast<std::uint64_t>(suspect_lock_verb::kUnreserve)) {
    return bad;
  }
  suspect_lock_message read;
  read.verb = static_cast<suspect_lock_verb>(verb);
  read.fingerprint = body[1].get<std::uint64_t>();
  read.upstream = upstream_id(body[2].get<std::uint64_t>());
  return read;
}

}  // namespace hawthorndrum
