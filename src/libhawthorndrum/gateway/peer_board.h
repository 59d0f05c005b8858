/// The other daemons' work, as their notices said last.
#pragma once

#include <map>

#include "base/ids.h"
#include "base/units.h"
#include "gateway/load_notice.h"

namespace hawthorndrum {

class crash_record;
class fleet_table;

/**
 * Keeps the last notice of each daemon until kForgotten after it came, and sums them up into the
 * fleet's rows.
 */
class peer_board {
 public:
  /** Several times the longest pause between two notices. */
  static constexpr duration kForgotten = milliseconds(1500);
  /** An upstream that answered this daemon so lately is not avoided on another's word. */
  static constexpr duration kSurelyAlive = milliseconds(150);

  peer_board(fleet_table& fleet, crash_record& crashes) : fleet_(fleet), crashes_(crashes) {}

  void OnNotice(const load_notice& notice, time_point now);
  /** Forgets daemons that went silent and sums up the rest. */
  void Run(time_point now);

  std::size_t peers() const { return peers_.size(); }

 private:
  struct peer_row {
    load_notice last;
    time_point heard;
  };

  void TakeAvoided(const load_notice& notice, time_point now);

  fleet_table& fleet_;
  crash_record& crashes_;
  std::map<incarnation_id, peer_row> peers_;
  bool changed_ = false;
};

}  // namespace hawthorndrum
