/// Marks engines whose change is planned.
#include "systems/planned_change_system.h"

#include <utility>

#include "base/metrics_registry.h"
#include "ports/clock.h"

namespace hawthorndrum {
namespace {

/** How long a mark that is not firm stays valid after the holder's last announcement. */
constexpr duration kMarkValidity = seconds(15);

bool OrderEnded(const upstream& row, order_id order) {
  const bool ended = row.report.last_order_progress == order_progress::kDone ||
                     row.report.last_order_progress == order_progress::kFailed;
  return row.has_report && row.report.last_order == order && ended;
}

}  // namespace

planned_change_system::planned_change_system(peer_port& peers, upstream_table& upstreams,
                                             const clock& clock, metrics_registry& metrics,
                                             std::string data_centre)
    : peers_(peers),
      upstreams_(upstreams),
      clock_(clock),
      data_centre_(std::move(data_centre)),
      stale_(metrics.Counter("hawthorndrum_stale_change_notices_total")),
      bad_messages_(metrics.Counter("hawthorndrum_bad_peer_messages_total",
                                    MetricLabel("topic", "planned_changes"))),
      marked_(metrics.Counter("hawthorndrum_engines_marked_for_change")) {}

void planned_change_system::Run(time_point now) {
  DropEndedMarks(now);
  for (const auto& [engine, mark] : marks_) {
    if (upstream* row = upstreams_.Find(engine)) row->planned_change = true;
  }
  marked_.Set(marks_.size());
  SendFirmMarksToNewPeers();
}

void planned_change_system::DropEndedMarks(time_point now) {
  for (auto it = marks_.begin(); it != marks_.end();) {
    upstream* row = upstreams_.Find(it->first);
    const bool ended = row != nullptr && OrderEnded(*row, it->second.order);
    const bool expired = !it->second.firm && now >= it->second.expires_at;
    if (!ended && !expired) {
      ++it;
      continue;
    }
    if (row != nullptr) row->planned_change = false;
    it = marks_.erase(it);
  }
}

void planned_change_system::SendFirmMarksToNewPeers() {
  planned_changes firm = newest_;
  firm.changes.clear();
  for (const auto& [engine, mark] : marks_) {
    if (mark.firm) firm.changes.push_back({engine, mark.order, true});
  }
  for (const live_peer& peer : peers_.Peers()) {
    if (!peer.same_data_centre || !informed_.insert(peer.incarnation).second) continue;
    if (!firm.changes.empty()) peers_.Send(peer.id, Encode(firm));
  }
}

void planned_change_system::Announce(planned_changes changes) {
  changes.data_centre = data_centre_;
  Apply(changes);
  const peer_message message = Encode(changes);
  for (const live_peer& peer : peers_.Peers()) {
    if (peer.same_data_centre) peers_.Send(peer.id, message);
  }
}

bool planned_change_system::Apply(const planned_changes& changes) {
  const bool older = changes.term < newest_.term ||
                     (changes.term == newest_.term && changes.number < newest_.number);
  if (older) {
    stale_.Add();
    return false;
  }
  // A duplicate number may come from a daemon that forwarded the firm marks only.
  const bool duplicate = changes.term == newest_.term && changes.number == newest_.number;
  if (!duplicate) UnmarkAll();
  newest_ = changes;
  for (const planned_change& change : changes.changes) {
    marks_[change.engine] = {change.order, change.firm, clock_.Now() + kMarkValidity};
    if (upstream* row = upstreams_.Find(change.engine)) row->planned_change = true;
  }
  return true;
}

void planned_change_system::UnmarkAll() {
  for (const auto& [engine, mark] : marks_) {
    if (upstream* row = upstreams_.Find(engine)) row->planned_change = false;
  }
  marks_.clear();
}

void planned_change_system::Answer(peer_id to, const planned_changes& changes) {
  planned_changes_seen seen;
  seen.term = changes.term;
  seen.number = changes.number;
  for (const planned_change& change : changes.changes) {
    const upstream* row = upstreams_.Find(change.engine);
    seen.engines.push_back({change.engine, row == nullptr ? 0 : row->own_in_flight});
  }
  peers_.Send(to, Encode(seen));
}

void planned_change_system::OnPeerMessage(peer_id from, const peer_message& message) {
  if (message.topic == peer_topic::kPlannedChanges) {
    const expected<planned_changes> changes = DecodePlannedChanges(message);
    if (!changes) return bad_messages_.Add();
    if (changes->data_centre != data_centre_) return;
    if (Apply(*changes) && !changes->changes.empty()) Answer(from, *changes);
    return;
  }
  if (message.topic != peer_topic::kPlannedChangesSeen) return;
  const expected<planned_changes_seen> seen = DecodePlannedChangesSeen(message);
  if (!seen) return bad_messages_.Add();
  if (listener_ != nullptr) listener_->OnChangesSeen(from, *seen);
}

}  // namespace hawthorndrum
