/// The messages of membership and their CBOR. Decoders return nothing for malformed messages.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/units.h"
#include "ports/peer_message.h"
#include "tables/daemon_identity.h"

namespace hawthorndrum {

/** "I am here, and my view of our data centre has this hash." */
struct heartbeat_message {
  std::uint64_t view_hash = 0;
};

/** "Have you heard of this daemon?" */
struct probe_request {
  peer_id target;
};

/** "I heard of this incarnation of it this long ago." */
struct probe_answer {
  peer_id target;
  incarnation_id incarnation;
  duration age{0};
};

/** The daemons that the sender believes alive; a hint where to dial, never a proof of life. */
struct members_message {
  std::vector<daemon_identity> members;
};

peer_message Encode(const heartbeat_message& message);
peer_message Encode(const probe_request& message);
peer_message Encode(const probe_answer& message);
peer_message Encode(const members_message& message);

std::optional<heartbeat_message> DecodeHeartbeat(const peer_message& message);
std::optional<probe_request> DecodeProbeRequest(const peer_message& message);
std::optional<probe_answer> DecodeProbeAnswer(const peer_message& message);
std::optional<members_message> DecodeMembers(const peer_message& message);

}  // namespace hawthorndrum
