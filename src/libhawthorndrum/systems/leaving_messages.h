/// Messages between daemons about upstreams that must get no new work.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "ports/peer_message.h"

namespace hawthorndrum {

/**
 * An operator's request to drain or undrain one upstream. The higher version takes precedence; at
 * equal versions, the drain does.
 */
struct operator_drain {
  upstream_id id;
  std::uint64_t version = 0;
  bool drain = false;

  bool TakesPrecedenceOver(const operator_drain& other) const {
    return version != other.version ? version > other.version : drain && !other.drain;
  }
};

/**
 * All upstreams that the sender itself sees leaving (by the host list or the engine's report) and
 * all operators' drain requests that it knows. Replaces the sender's previous message.
 */
struct leaving_message {
  std::vector<upstream_id> seen;
  std::vector<operator_drain> drain_requests;
};

peer_message Encode(const leaving_message& message);
/** Returns `std::nullopt` for a malformed message. */
std::optional<leaving_message> DecodeLeaving(const peer_message& message);

}  // namespace hawthorndrum
