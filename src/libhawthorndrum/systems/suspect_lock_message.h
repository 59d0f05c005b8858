/// The peer message about the lock to run a suspect (topic kSuspectLock).
#pragma once

#include <cstdint>

#include "base/error.h"
#include "base/ids.h"
#include "ports/peer_message.h"

namespace hawthorndrum {

/**
 * To the coordinator: kRequest (repeated while the lock is wanted or held), kRelease. From the
 * coordinator: kGrant. From the holder to all daemons of the data centre: kReserve, kUnreserve;
 * their answer: kIdle, once the sender has nothing in flight at the upstream. The numbers are part
 * of the protocol.
 */
enum class suspect_lock_verb : std::uint8_t {
  kRequest = 1,
  kGrant = 2,
  kRelease = 3,
  kReserve = 4,
  kIdle = 5,
  kUnreserve = 6,
};

struct suspect_lock_message {
  suspect_lock_verb verb = suspect_lock_verb::kRequest;
  std::uint64_t fingerprint = 0;
  upstream_id upstream;
};

peer_message Encode(const suspect_lock_message& message);

expected<suspect_lock_message> DecodeSuspectLock(const peer_message& message);

}  // namespace hawthorndrum
