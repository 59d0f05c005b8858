/// Membership messages and their CBOR encoding. Decoders return `std::nullopt` for malformed input.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/units.h"
#include "ports/peer_message.h"
#include "tables/daemon_identity.h"

namespace hawthorndrum {

/** Shows that the sender is alive and carries the hash of its view of its data centre. */
struct heartbeat_message {
  std::uint64_t view_hash = 0;
};

/** Asks whether the receiver has recently received a frame from `target`. */
struct probe_request {
  peer_id target;
};

/** Reports that the last frame from this incarnation of `target` arrived `age` ago. */
struct probe_answer {
  peer_id target;
  incarnation_id incarnation;
  duration age{0};
};

/** Daemons that the sender considers alive. Receivers use them only as addresses to dial. */
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
