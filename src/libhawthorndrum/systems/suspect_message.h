/// The peer message about strikes and convictions (topic kSuspect).
#pragma once

#include <cstdint>
#include <vector>

#include "base/error.h"
#include "base/units.h"
#include "ports/peer_message.h"
#include "systems/crash_event.h"

namespace hawthorndrum {

struct strike_update {
  crash_event event;
  bool alone = false;
};

/**
 * The sender's strikes against a fingerprint. `cleared`: it has none any more, because the request
 * was answered completely or an operator cleared it.
 */
struct fingerprint_update {
  std::uint64_t fingerprint = 0;
  std::vector<strike_update> strikes;
  duration convicted_for{0};
  bool cleared = false;
};

/** `alive`: upstream incarnations that were taken for lost but are alive. */
struct suspect_message {
  std::vector<fingerprint_update> updates;
  std::vector<crash_event> alive;
};

peer_message Encode(const suspect_message& message);

/** Returns an error for a malformed message or one that exceeds the size limits. */
expected<suspect_message> DecodeSuspect(const peer_message& message);

}  // namespace hawthorndrum
