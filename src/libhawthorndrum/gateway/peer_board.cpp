/// Summing up the notices.
#include "gateway/peer_board.h"

#include <algorithm>
#include <utility>

#include "gateway/fleet_table.h"
#include "gateway/reach_keeper.h"

namespace hawthorndrum {

namespace {

/** Another daemon's word keeps this one from an upstream for so long; it may be repeated. */
constexpr duration kLongestAvoidance = milliseconds(500);
/** Digests are a few periods old at most. */
constexpr std::size_t kOwnNoticesKept = 12;

}  // namespace

peer_board::peer_board(fleet_table& fleet, crash_record& crashes, reach_keeper& reach,
                       incarnation_id self, std::string own_data_centre)
    : fleet_(fleet),
      crashes_(crashes),
      reach_(reach),
      self_(self),
      own_data_centre_(std::move(own_data_centre)) {}

bool peer_board::Store(peer_row& row, const load_notice& notice, time_point now) {
  const bool same = row.last.sender == notice.sender;
  if (same && row.heard != time_point() && notice.sequence <= row.last.sequence) return false;
  row.last = notice;
  row.heard = now;
  changed_ = true;
  return true;
}

void peer_board::OnNotice(const load_notice& notice, time_point now) {
  if (notice.sender == self_) return;
  peer_row& row = notice.is_digest() ? digests_[notice.data_centre] : members_[notice.sender];
  if (!Store(row, notice, now)) return;
  newest_config_ = std::max(newest_config_, notice.config_version);
  newest_fleet_ = std::max(newest_fleet_, notice.fleet_revision);
  for (const noted_work& noted : notice.work) {
    fleet_upstream* known = fleet_.Find(noted.upstream);
    if (known != nullptr) known->alive_at = std::max(known->alive_at, now - noted.heard_ago);
  }
  TakeAvoided(notice, now);
  for (const crash_report& crash : notice.crashes) crashes_.Note(crash, now);
}

void peer_board::TakeAvoided(const load_notice& notice, time_point now) {
  for (const noted_avoidance& avoided : notice.avoided) {
    fleet_upstream* row = fleet_.Find(avoided.upstream);
    if (row == nullptr) continue;
    // An engine that is about to change, or to leave, answers until then.
    const bool is_planned =
        avoided.reason == avoidance_reason::kChanges || avoided.reason == avoidance_reason::kLeaves;
    if (!is_planned && now - row->alive_at < kSurelyAlive) continue;
    if (avoided.reason == avoidance_reason::kLost) reach_.OnWordOfLoss(*row, now);
    const duration avoid_for = std::min(avoided.avoid_for, kLongestAvoidance);
    row->avoid_until = std::max(row->avoid_until, now + avoid_for);
  }
}

void peer_board::NoteOwn(const load_notice& own) {
  own_notices_.push_back(own);
  if (own_notices_.size() > kOwnNoticesKept) own_notices_.pop_front();
}

time_point peer_board::DigestOf(const std::string& host) const {
  const auto found = digests_.find(own_data_centre_);
  if (found == digests_.end() || found->second.last.host != host) return time_point();
  return found->second.heard;
}

load_notice peer_board::MakeDigest(const load_notice& own, time_point now) const {
  load_notice digest = own;
  digest.covers = {{own.sender, own.sequence}};
  std::map<upstream_id, noted_work> sums;
  for (const noted_work& noted : own.work) sums[noted.upstream] = noted;
  std::map<upstream_id, noted_avoidance> avoided;
  for (const noted_avoidance& each : own.avoided) avoided[each.upstream] = each;
  for (const auto& [sender, member] : members_) {
    const duration age = now - member.heard;
    digest.covers.push_back({sender, member.last.sequence});
    digest.config_version = std::max(digest.config_version, member.last.config_version);
    digest.fleet_revision = std::max(digest.fleet_revision, member.last.fleet_revision);
    for (const noted_work& noted : member.last.work) {
      const auto [place, added] = sums.try_emplace(noted.upstream, noted);
      noted_work& sum = place->second;
      if (!added) sum.work += noted.work;
      sum.heard_ago =
          std::min(added ? noted.heard_ago + age : sum.heard_ago, noted.heard_ago + age);
    }
    for (const noted_avoidance& each : member.last.avoided) {
      const auto [place, added] = avoided.try_emplace(each.upstream, each);
      if (!added && each.reason < place->second.reason) place->second = each;
    }
    const auto& crashes = member.last.crashes;
    digest.crashes.insert(digest.crashes.end(), crashes.begin(), crashes.end());
  }
  digest.avoided.clear();
  for (const auto& [upstream, each] : avoided) digest.avoided.push_back(each);
  digest.work.clear();
  for (const auto& [upstream, sum] : sums) digest.work.push_back(sum);
  return digest;
}

template <typename Rows>
void peer_board::Forget(Rows& rows, time_point now) {
  for (auto place = rows.begin(); place != rows.end();) {
    const bool silent = now - place->second.heard > kForgotten;
    changed_ = changed_ || silent;
    place = silent ? rows.erase(place) : std::next(place);
  }
}

void peer_board::AddUp(const load_notice& notice) {
  for (const noted_work& noted : notice.work) {
    if (fleet_upstream* row = fleet_.Find(noted.upstream)) row->peers += noted.work;
  }
}

void peer_board::TakeOutOwn(const load_notice& digest) {
  const auto covered =
      std::find_if(digest.covers.begin(), digest.covers.end(),
                   [this](const covered_notice& each) { return each.sender == self_; });
  if (covered == digest.covers.end()) return;
  for (const load_notice& own : own_notices_) {
    if (own.sequence != covered->sequence) continue;
    for (const noted_work& noted : own.work) {
      if (fleet_upstream* row = fleet_.Find(noted.upstream)) row->peers.TakeOff(noted.work);
    }
  }
}

void peer_board::Run(time_point now) {
  Forget(members_, now);
  Forget(digests_, now);
  if (!changed_) return;
  changed_ = false;
  fleet_.ForEach([](fleet_upstream& row) { row.peers = {}; });
  for (const auto& [data_centre, digest] : digests_) {
    // A collector has its members' notices themselves.
    if (data_centre == own_data_centre_ && HasMembers()) continue;
    AddUp(digest.last);
    TakeOutOwn(digest.last);
  }
  for (const auto& [sender, member] : members_) AddUp(member.last);
}

}  // namespace hawthorndrum
