/// Decides which teams are refused while the room at a service's upstreams is short.
///
/// The load is a few teams that ask for more than there is room for beside many that send little,
/// the callers of each spread unevenly over the daemons.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "teams/team_rates.h"

namespace hawthorndrum {

enum class share_verdict {
  kAdmitted,
  /** Upstreams run it after requests of the same priority that are admitted as usual. */
  kBehindOthers,
  kRefused,
};

/**
 * The room of a service is what its daemons admit together while it is short. Each priority gets
 * what the more urgent ones leave, but at least kLeastShare. Within a priority all teams get what
 * they ask for up to a level, which is the same for all of them and uses the room up. A team that
 * asks for more comes after the others at the upstreams, and is refused what is beyond the level
 * unless the wait is short, so that no room stays unused.
 */
class team_shares {
 public:
  /** Room counts as short for this long after requests had to wait, or were refused. */
  static constexpr duration kShortFor = seconds(3);
  /** A report is used for this long; several times the longest period between two. */
  static constexpr duration kReportExpiry = seconds(25);
  /** Most teams in a report; only large ones are near their level. */
  static constexpr std::size_t kMostReported = 8;
  static constexpr std::size_t kMostRows = 16;
  /** The part of a service's room that is kept for each priority. */
  static constexpr double kLeastShare = 0.1;

  /** Records that a request was admitted or refused for lack of room. */
  void Record(const team_place& place, double work, bool admitted, time_point now);
  /** `wait_in_objectives` is the wait for the upstream that would take the request soonest. */
  share_verdict Judge(const team_place& place, double work, double wait_in_objectives,
                      time_point now);
  /** Returns when the share has caught up with what the team asks for. */
  duration TimeToTurn(const team_place& place, time_point now);

  /** Returns what this daemon's callers ask for. */
  std::vector<team_rate> Report(time_point now);
  /** Replaces what that daemon has reported before. */
  void OnReport(incarnation_id sender, std::vector<team_rate> report, time_point now);

  /** Returns whether the room of any service is, or just was, short here. */
  bool WasShort(time_point now) const;

  std::size_t rows() const { return own_.size() + totals_.size(); }

 private:
  static constexpr double kNoLevel = std::numeric_limits<double>::infinity();

  struct peer_report {
    std::vector<team_rate> rates;
    time_point at;
  };
  struct total {
    double asked = 0;
    double admitted = 0;
    /** The highest rate that teams of its service and priority get. */
    double level = kNoLevel;
  };
  struct service_state {
    /** Room counts as short until then. */
    time_point short_until;
    /** The longest wait since the last update, in objectives. */
    double longest_wait = 0;
  };
  /** Work that a team beyond its level may still be admitted for. */
  struct allowance {
    double work = 0;
    time_point at;
  };

  void Update(time_point now);
  void SetLevels(std::uint64_t service, time_point now);

  team_rates own_;
  std::map<incarnation_id, peer_report> peers_;
  std::unordered_map<team_place, total, team_place_hash> totals_;
  std::unordered_map<std::uint64_t, service_state> services_;
  std::unordered_map<team_place, allowance, team_place_hash> allowances_;
  time_point updated_at_;
};

}  // namespace hawthorndrum
