/// What the settings say about other daemons, and the times of failure detection.
#pragma once

#include <string>
#include <vector>

#include "base/units.h"
#include "systems/peer_router.h"

namespace hawthorndrum {

/** A peer that was silent this long is asked after at others. */
constexpr duration kProbeAfter = milliseconds(1300);
/** A peer of which nobody has heard for this long is no longer believed alive. */
constexpr duration kSuspectAfter = milliseconds(1700);
/** A suspect is dead, and its link closed, after this long without any sign. */
constexpr duration kDeadAfter = seconds(10);
/** Dead peers, not seeds and not listed, are dialled this long, then forgotten. */
constexpr duration kForgetAfter = std::chrono::hours(1);

/** The pauses between tries to open a link. */
constexpr duration kFirstDialPause = milliseconds(500);
constexpr duration kLongestDialPause = seconds(10);

/**
 * `seeds` are addresses (`ip:port`) of peers' ports; this daemon's own may be among them.
 */
struct membership_settings {
  std::vector<std::string> seeds;
};

}  // namespace hawthorndrum
