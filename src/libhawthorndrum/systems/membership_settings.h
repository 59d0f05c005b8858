/// Settings of membership and the timeouts of failure detection.
#pragma once

#include <string>
#include <vector>

#include "base/units.h"
#include "systems/peer_router.h"

namespace hawthorndrum {

/** Silence after which a peer is probed through other daemons. */
constexpr duration kProbeAfter = milliseconds(1300);
/** Time without a frame or a confirmation by another daemon after which a peer is suspect. */
constexpr duration kSuspectAfter = milliseconds(1700);
/** Time after which a suspect peer is dead and a silent link is closed. */
constexpr duration kDeadAfter = seconds(10);
/**
 * Time for which dead peers and candidates are still dialled before their rows are removed. Seeds
 * and listed peers are never removed.
 */
constexpr duration kForgetAfter = std::chrono::hours(1);

/** Bounds of the backoff between attempts to open a link. */
constexpr duration kInitialDialBackoff = milliseconds(500);
constexpr duration kMaxDialBackoff = seconds(10);

/**
 * `seeds` are peer addresses (`ip:port`) and may include this daemon's own.
 */
struct membership_settings {
  std::vector<std::string> seeds;
};

}  // namespace hawthorndrum
