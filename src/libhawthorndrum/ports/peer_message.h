/// Envelope of messages between daemons.
#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"

namespace hawthorndrum {

/**
 * Topic of a message. The numbers are part of the protocol: add new ones, never reuse old ones.
 */
enum class peer_topic : std::uint16_t {
  kHello = 1,
  kHeartbeat = 2,
  kProbe = 3,
  kProbeRequest = 4,
  kProbeAnswer = 5,
  kMembers = 6,
  kLoadDelta = 10,
  kUpstreamLeaving = 11,
  kCacheHint = 12,
  kSuspect = 20,
  kSuspectLock = 21,
  kClaimForward = 30,
  kClaimQuery = 31,
  kClaimReply = 32,
  kLeaseHolder = 40,
  kAuthorityLost = 41,
  kAuthorityQuery = 42,
  kPlannedChanges = 43,
  kPlannedChangesSeen = 44,
  kConfigHead = 50,
  kConfigRequest = 51,
  kConfigPart = 52,
  kStatus = 60,
  kDrain = 61,
  kDemand = 62,
};

/**
 * One message. `body` is the CBOR encoding of the topic's message type.
 */
struct peer_message {
  peer_topic topic = peer_topic::kHello;
  std::vector<std::uint8_t> body;
};

}  // namespace hawthorndrum
