/// The peer message about the turn to run a suspect (topic kSuspectTurn).
#pragma once

#include <cstdint>

#include "base/error.h"
#include "base/ids.h"
#include "ports/peer_message.h"

namespace hawthorndrum {

/**
 * To the keeper: kAsk (again while it is wanted or held), kDone. From the keeper: kGrant. From the
 * holder to all of the data centre: kReserve, kFree; back to it: kEmpty, once the sender has
 * nothing in flight at the upstream. Numbers are part of the protocol.
 */
enum class turn_verb : std::uint8_t {
  kAsk = 1,
  kGrant = 2,
  kDone = 3,
  kReserve = 4,
  kEmpty = 5,
  kFree = 6,
};

struct turn_message {
  turn_verb verb = turn_verb::kAsk;
  std::uint64_t fingerprint = 0;
  upstream_id upstream;
};

peer_message Encode(const turn_message& message);

expected<turn_message> DecodeTurn(const peer_message& message);

}  // namespace hawthorndrum
