/// Summing up the notices.
#include "gateway/peer_board.h"

#include <algorithm>

#include "gateway/fleet_table.h"

namespace hawthorndrum {

void peer_board::OnNotice(const load_notice& notice, time_point now) {
  peer_row& row = peers_[notice.sender];
  if (row.heard != time_point() && notice.sequence <= row.last.sequence) return;
  for (const noted_work& noted : notice.work) {
    fleet_upstream* known = fleet_.Find(noted.upstream);
    if (known != nullptr) known->alive_at = std::max(known->alive_at, now - noted.heard_ago);
  }
  TakeAvoided(notice, now);
  for (const crash_report& crash : notice.crashes) crashes_.Note(crash, now);
  row.last = notice;
  row.heard = now;
  changed_ = true;
}

void peer_board::TakeAvoided(const load_notice& notice, time_point now) {
  for (const noted_avoidance& avoided : notice.avoided) {
    fleet_upstream* row = fleet_.Find(avoided.upstream);
    if (row == nullptr || now - row->alive_at < kSurelyAlive) continue;
    // Said of by one daemon it is avoided for a short while; whoever must may still find out.
    const duration avoid_for = std::min<duration>(avoided.avoid_for, milliseconds(500));
    row->avoid_until = std::max(row->avoid_until, now + avoid_for);
  }
}

void peer_board::Run(time_point now) {
  for (auto place = peers_.begin(); place != peers_.end();) {
    const bool silent = now - place->second.heard > kForgotten;
    changed_ = changed_ || silent;
    place = silent ? peers_.erase(place) : std::next(place);
  }
  if (!changed_) return;
  changed_ = false;
  fleet_.ForEach([](fleet_upstream& row) { row.peers = {}; });
  for (const auto& [sender, peer] : peers_) {
    for (const noted_work& noted : peer.last.work) {
      if (fleet_upstream* row = fleet_.Find(noted.upstream)) row->peers += noted.work;
    }
  }
}

}  // namespace hawthorndrum
