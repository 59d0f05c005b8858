/// The other daemons' work, as their notices said last.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "base/ids.h"
#include "base/units.h"
#include "gateway/load_notice.h"

namespace hawthorndrum {

class crash_record;
class fleet_table;
class reach_keeper;

/**
 * Keeps the last notice of each daemon of this data centre that sends here, and the last digest of
 * each data centre, until kForgotten after it came, and sums them up into the fleet's rows.
 *
 * Invariant: what this daemon itself said is not part of the sum, as far as the digest names the
 * notice that it took it from.
 */
class peer_board {
 public:
  /** Several times the longest pause between two notices. */
  static constexpr duration kForgotten = milliseconds(1500);
  /** An upstream that answered this daemon so lately is not avoided on another's word. */
  static constexpr duration kSurelyAlive = milliseconds(150);

  peer_board(fleet_table& fleet, crash_record& crashes, reach_keeper& reach, incarnation_id self,
             std::string own_data_centre);

  void OnNotice(const load_notice& notice, time_point now);
  /** Forgets daemons that went silent and sums up the rest. */
  void Run(time_point now);

  /** Remembers what this daemon said, to take it out of digests. */
  void NoteOwn(const load_notice& own);
  /** The sum of this daemon's notice and its members'. */
  load_notice MakeDigest(const load_notice& own, time_point now) const;
  /** Whether daemons of this data centre send their notices here. */
  bool HasMembers() const { return !members_.empty(); }
  /** The newest that any daemon knows, as far as its word came here. */
  std::uint64_t newest_config() const { return newest_config_; }
  std::uint64_t newest_fleet() const { return newest_fleet_; }
  /** When that host's digest of this data centre came, if it was the last one to come. */
  time_point DigestOf(const std::string& host) const;

 private:
  struct peer_row {
    load_notice last;
    time_point heard;
  };

  /** Takes the notice unless it was overtaken by a later one of the same sender. */
  bool Store(peer_row& row, const load_notice& notice, time_point now);
  void TakeAvoided(const load_notice& notice, time_point now);
  void AddUp(const load_notice& notice);
  void TakeOutOwn(const load_notice& digest);
  template <typename Rows>
  void Forget(Rows& rows, time_point now);

  fleet_table& fleet_;
  crash_record& crashes_;
  reach_keeper& reach_;
  incarnation_id self_;
  std::string own_data_centre_;
  std::map<incarnation_id, peer_row> members_;
  std::map<std::string, peer_row> digests_;
  /** The notices of this daemon that digests may still hold, the oldest first. */
  std::deque<load_notice> own_notices_;
  bool changed_ = false;
  std::uint64_t newest_config_ = 0;
  std::uint64_t newest_fleet_ = 0;
};

}  // namespace hawthorndrum
