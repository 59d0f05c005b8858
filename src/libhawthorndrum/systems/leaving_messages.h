/// What daemons tell each other about upstreams that must get no new work.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "ports/peer_message.h"

namespace hawthorndrum {

/**
 * An operator's wish for one upstream. Of two, the one with the higher version holds; of two with
 * the same version, the one that drains.
 */
struct drain_wish {
  upstream_id id;
  std::uint64_t version = 0;
  bool drain = false;

  bool GoesBefore(const drain_wish& other) const {
    return version != other.version ? version > other.version : drain && !other.drain;
  }
};

/**
 * All that the sender itself has seen leaving (by the host list or the engine), and all operators'
 * wishes that it knows. Replaces what it said before.
 */
struct leaving_message {
  std::vector<upstream_id> seen;
  std::vector<drain_wish> wishes;
};

peer_message Encode(const leaving_message& message);
/** Returns nothing for a malformed message. */
std::optional<leaving_message> DecodeLeaving(const peer_message& message);

}  // namespace hawthorndrum
