/// Adds up the notices of the other daemons.
#include "gateway/peer_load_table.h"

#include <algorithm>
#include <utility>

#include "gateway/fleet_table.h"
#include "gateway/reachability_monitor.h"

namespace hawthorndrum {

namespace {

/** One notice makes this daemon avoid an upstream for at most this long; the next may extend it. */
constexpr duration kMaxAvoidance = milliseconds(500);
/** A peer's report that an upstream asked it for time counts like a refusal of an own call. */
constexpr double kReportedRefusalShare = 0.3;
/** Digests include notices that are a few periods old at most. */
constexpr std::size_t kMaxOwnNotices = 12;

std::uint64_t DemandIn(const load_notice& notice, const std::string& service) {
  for (const reported_demand& each : notice.demand) {
    if (each.service == service) return each.prefill_tokens_per_second;
  }
  return 0;
}

/** Adds what an upstream said unless a later statement is there. */
void AddLimit(std::vector<reported_limit>& limits, const reported_limit& more) {
  for (reported_limit& each : limits) {
    if (each.upstream != more.upstream) continue;
    if (more.age < each.age) each = more;
    return;
  }
  limits.push_back(more);
}

/** Adds the demands of `more` to those of the same services in `sums`. */
void AddDemand(std::vector<reported_demand>& sums, const std::vector<reported_demand>& more) {
  for (const reported_demand& each : more) {
    const auto same = std::find_if(sums.begin(), sums.end(), [&](const reported_demand& sum) {
      return sum.service == each.service;
    });
    if (same == sums.end()) {
      sums.push_back(each);
    } else {
      same->prefill_tokens_per_second += each.prefill_tokens_per_second;
      same->speed_sum += each.speed_sum;
      same->speed_count += each.speed_count;
    }
  }
}

}  // namespace

peer_load_table::peer_load_table(fleet_table& fleet, reachability_monitor& reachability,
                                 incarnation_id self, std::string own_data_centre)
    : fleet_(fleet),
      reachability_(reachability),
      self_(self),
      own_data_centre_(std::move(own_data_centre)) {}

bool peer_load_table::StoreIfNewer(peer_row& row, const load_notice& notice, time_point now) {
  const bool same_sender = row.last.sender == notice.sender;
  if (same_sender && row.received_at != time_point() && notice.sequence <= row.last.sequence)
    return false;
  row.last = notice;
  row.received_at = now;
  changed_ = true;
  return true;
}

void peer_load_table::OnNotice(const load_notice& notice, time_point now) {
  if (notice.sender == self_) return;
  peer_row& row = notice.is_digest() ? digests_[notice.data_centre] : members_[notice.sender];
  if (!StoreIfNewer(row, notice, now)) return;
  newest_config_version_ = std::max(newest_config_version_, notice.config_version);
  newest_fleet_revision_ = std::max(newest_fleet_revision_, notice.fleet_revision);
  for (const reported_work& reported : notice.work) {
    fleet_upstream* known = fleet_.Find(reported.upstream);
    if (known == nullptr) continue;
    const time_point heard_at = now - reported.since_last_answer;
    known->peers_heard_at = std::max(known->peers_heard_at, heard_at);
    known->last_active_at = std::max(known->last_active_at, heard_at);
  }
  ApplyAvoidances(notice, now);
}

void peer_load_table::ApplyAvoidances(const load_notice& notice, time_point now) {
  for (const reported_avoidance& avoided : notice.avoided) {
    fleet_upstream* row = fleet_.Find(avoided.upstream);
    if (row == nullptr) continue;
    if (avoided.reason == avoidance_reason::kWantsTime) {
      // The upstream told the sender alone, and may still accept calls of this daemon.
      row->refusal_share = std::max(row->refusal_share, kReportedRefusalShare);
      continue;
    }
    // An engine whose stage is about to change, or that is leaving, still answers until then.
    const bool is_planned = avoided.reason == avoidance_reason::kChangingStage ||
                            avoided.reason == avoidance_reason::kLeaving;
    if (!is_planned && now - row->last_active_at < kRecentAnswerWindow) continue;
    if (avoided.reason == avoidance_reason::kLost) reachability_.OnLossReported(*row, now);
    const duration avoid_for = std::min(avoided.avoid_for, kMaxAvoidance);
    row->avoid_until = std::max(row->avoid_until, now + avoid_for);
  }
}

void peer_load_table::RecordOwnNotice(const load_notice& own) {
  own_notices_.push_back(own);
  if (own_notices_.size() > kMaxOwnNotices) own_notices_.pop_front();
}

time_point peer_load_table::DigestReceivedAt(const std::string& host) const {
  const auto found = digests_.find(own_data_centre_);
  if (found == digests_.end() || found->second.last.host != host) return time_point();
  return found->second.received_at;
}

load_notice peer_load_table::MakeDigest(const load_notice& own, time_point now) const {
  load_notice digest = own;
  digest.covers = {{own.sender, own.sequence}};
  std::map<upstream_id, reported_work> sums;
  for (const reported_work& reported : own.work) sums[reported.upstream] = reported;
  std::map<upstream_id, reported_avoidance> avoided;
  for (const reported_avoidance& each : own.avoided) avoided[each.upstream] = each;
  for (const auto& [sender, member] : members_) {
    const duration age = now - member.received_at;
    digest.covers.push_back({sender, member.last.sequence});
    digest.config_version = std::max(digest.config_version, member.last.config_version);
    digest.fleet_revision = std::max(digest.fleet_revision, member.last.fleet_revision);
    for (const reported_work& reported : member.last.work) {
      const auto [it, added] = sums.try_emplace(reported.upstream, reported);
      reported_work& sum = it->second;
      if (!added) sum.work += reported.work;
      sum.since_last_answer =
          std::min(added ? reported.since_last_answer + age : sum.since_last_answer,
                   reported.since_last_answer + age);
    }
    for (const reported_avoidance& each : member.last.avoided) {
      const auto [it, added] = avoided.try_emplace(each.upstream, each);
      if (!added && each.reason < it->second.reason) it->second = each;
    }
    for (reported_limit each : member.last.limits) {
      each.age += age;
      AddLimit(digest.limits, each);
    }
    AddDemand(digest.demand, member.last.demand);
  }
  digest.avoided.clear();
  for (const auto& [upstream, each] : avoided) digest.avoided.push_back(each);
  digest.work.clear();
  for (const auto& [upstream, sum] : sums) digest.work.push_back(sum);
  return digest;
}

template <typename Rows>
void peer_load_table::RemoveExpired(Rows& rows, time_point now) {
  for (auto it = rows.begin(); it != rows.end();) {
    const bool expired = now - it->second.received_at > kNoticeExpiry;
    changed_ = changed_ || expired;
    it = expired ? rows.erase(it) : std::next(it);
  }
}

void peer_load_table::AddPeerWork(const load_notice& notice) {
  for (const reported_work& reported : notice.work) {
    if (fleet_upstream* row = fleet_.Find(reported.upstream)) row->peers += reported.work;
  }
}

const load_notice* peer_load_table::OwnNoticeIn(const load_notice& digest) const {
  const auto covered =
      std::find_if(digest.covers.begin(), digest.covers.end(),
                   [this](const covered_notice& each) { return each.sender == self_; });
  if (covered == digest.covers.end()) return nullptr;
  for (const load_notice& own : own_notices_) {
    if (own.sequence == covered->sequence) return &own;
  }
  return nullptr;
}

void peer_load_table::SubtractOwnWork(const load_notice& digest) {
  const load_notice* own = OwnNoticeIn(digest);
  if (own == nullptr) return;
  for (const reported_work& reported : own->work) {
    if (fleet_upstream* row = fleet_.Find(reported.upstream))
      row->peers.SubtractClamped(reported.work);
  }
}

std::uint64_t peer_load_table::PrefillTokensPerSecond(const std::string& service) const {
  std::uint64_t sum = 0;
  for (const auto& [data_centre, digest] : digests_) {
    // A collector has the notices of its data centre itself.
    if (data_centre == own_data_centre_ && HasMembers()) continue;
    const load_notice* own = OwnNoticeIn(digest.last);
    const std::uint64_t all = DemandIn(digest.last, service);
    sum += all - std::min(all, own == nullptr ? 0 : DemandIn(*own, service));
  }
  for (const auto& [sender, member] : members_) sum += DemandIn(member.last, service);
  return sum;
}

double peer_load_table::MeanPrefillTokensPerMs(const std::string& service) const {
  double sum = 0;
  double count = 0;
  const auto add = [&](const load_notice& notice) {
    for (const reported_demand& each : notice.demand) {
      if (each.service != service) continue;
      sum += static_cast<double>(each.speed_sum);
      count += static_cast<double>(each.speed_count);
    }
  };
  for (const auto& [data_centre, digest] : digests_) add(digest.last);
  for (const auto& [sender, member] : members_) add(member.last);
  return count == 0 ? 0 : sum / count / 1000;
}

void peer_load_table::Run(time_point now) {
  RemoveExpired(members_, now);
  RemoveExpired(digests_, now);
  if (!changed_) return;
  changed_ = false;
  fleet_.ForEach([](fleet_upstream& row) { row.peers = {}; });
  for (const auto& [data_centre, digest] : digests_) {
    // A collector has the notices of its data centre itself.
    if (data_centre == own_data_centre_ && HasMembers()) continue;
    AddPeerWork(digest.last);
    SubtractOwnWork(digest.last);
  }
  for (const auto& [sender, member] : members_) AddPeerWork(member.last);
}

}  // namespace hawthorndrum
