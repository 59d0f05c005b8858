/// Paces the reports of teams' rates between daemons.
#pragma once

#include <optional>

#include "base/ids.h"
#include "base/units.h"
#include "teams/share_message.h"

namespace hawthorndrum {

class team_shares;

/**
 * Reports are sent to all other daemons while room is short here, and for some time after, so that
 * a fleet with room sends none. The period grows with the fleet, which bounds the bytes a second.
 */
class share_exchange {
 public:
  static constexpr duration kMinPeriod = seconds(1);
  static constexpr duration kPeriodPerDaemon = milliseconds(25);

  share_exchange(team_shares& shares, incarnation_id self) : shares_(shares), self_(self) {}

  /** Returns the report that is due for the `others` other daemons. */
  std::optional<share_message> Run(std::size_t others, time_point now);
  void OnMessage(const share_message& message, time_point now);

 private:
  team_shares& shares_;
  incarnation_id self_;
  time_point next_;
};

}  // namespace hawthorndrum
