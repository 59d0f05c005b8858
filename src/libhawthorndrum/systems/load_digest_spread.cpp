/// Sends the reports of owned engines to the peers, and applies the reports that peers send.
#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "systems/load_digest_system.h"

namespace hawthorndrum {

namespace {

constexpr duration kUpdateInterval = seconds(1);
/**
 * Each engine is sent as a full entry this often; the first time is random, so that engines are
 * spread over the interval.
 */
constexpr duration kFullInterval = seconds(60);
/** A count is sent again when it has changed by this fraction, and by at least one. */
constexpr double kCountStep = 0.12;
/**
 * Queued prefill tokens are sent again when they have changed by the fraction kCountStep, and by at
 * least this many: one piece of prefix cache.
 */
constexpr double kTokenFloor = 2000;
constexpr double kRateStep = 0.3;
constexpr std::uint32_t kKvStepPerMille = 30;
/** Full entries per message; the others wait for the next one. */
constexpr std::size_t kMaxFulls = 6;
/**
 * Full entries per second, summed over all peers, within kFormingTime of a peer's joining; a
 * message holds at least one.
 */
constexpr std::size_t kMaxFullsWhileForming = 24;
constexpr duration kFormingTime = seconds(6);
/**
 * Snapshots are sent to one peer after another at this interval, so that many new links cause no
 * burst.
 */
constexpr duration kSnapshotInterval = milliseconds(500);
/** How long to wait for a peer's first snapshot before requesting it, and between requests. */
constexpr duration kFirstSnapshotWait = seconds(14);
constexpr duration kSnapshotRequestInterval = seconds(4);
constexpr std::size_t kMaxViews = 512;

bool HasMoved(double before, double after, double fraction, double floor) {
  return std::abs(after - before) >= std::max(floor, fraction * std::max(before, after));
}

std::uint32_t KvPerMille(const load_report& report) {
  if (report.kv_total_bytes == 0) return 0;
  const double fraction =
      static_cast<double>(report.kv_used_bytes) / static_cast<double>(report.kv_total_bytes);
  return static_cast<std::uint32_t>(std::clamp(fraction * 1000, 0.0, 1000.0));
}

bool SameModels(const load_report& a, const load_report& b) {
  return std::equal(a.models.begin(), a.models.end(), b.models.begin(), b.models.end(),
                    [](const loaded_model& x, const loaded_model& y) {
                      return x.name == y.name && x.version == y.version && x.adapters == y.adapters;
                    });
}

/** Whether a field has changed that only a full entry carries. */
bool NeedsFull(const load_report& sent, const load_report& now) {
  return sent.engine_incarnation != now.engine_incarnation || sent.role != now.role ||
         sent.state != now.state || sent.kv_total_bytes != now.kv_total_bytes ||
         sent.term != now.term || sent.last_order != now.last_order ||
         sent.last_order_progress != now.last_order_progress || !SameModels(sent, now) ||
         HasMoved(sent.prefill_tokens_per_second, now.prefill_tokens_per_second, kRateStep, 1) ||
         HasMoved(sent.decode_tokens_per_second, now.decode_tokens_per_second, kRateStep, 1);
}

bool NeedsChange(const load_report& sent, const load_report& now) {
  const auto kv_step =
      std::max(KvPerMille(sent), KvPerMille(now)) - std::min(KvPerMille(sent), KvPerMille(now));
  return HasMoved(sent.running, now.running, kCountStep, 1) ||
         HasMoved(sent.queued, now.queued, kCountStep, 1) ||
         HasMoved(static_cast<double>(sent.queued_prefill_tokens),
                  static_cast<double>(now.queued_prefill_tokens), kCountStep, kTokenFloor) ||
         kv_step >= kKvStepPerMille;
}

}  // namespace

load_full load_digest_system::FullOf(owned_engine& engine, const upstream& row, time_point now) {
  return {engine.slot, now - engine.polled, row.report};
}

load_message load_digest_system::BuildMessage(time_point now) {
  load_message message;
  const bool is_forming = now - peers_changed_ < kFormingTime;
  const std::size_t peers = std::max<std::size_t>(1, last_peers_.size());
  const std::size_t max_fulls =
      is_forming ? std::max<std::size_t>(1, kMaxFullsWhileForming / peers) : kMaxFulls;
  for (auto& [id, engine] : owned_) {
    const upstream* row = upstreams_.Find(id);
    if (row == nullptr || !engine.has_unsent_report) continue;
    const load_report& report = row->report;
    const bool due = now - engine.full_sent >= kFullInterval;
    const bool full = !engine.has_sent || due || NeedsFull(engine.sent, report);
    if (full && message.fulls.size() >= max_fulls) continue;
    engine.has_unsent_report = false;
    if (full) {
      message.fulls.push_back(FullOf(engine, *row, now));
      // Dates the first full entry back by a random time, so that later ones are spread out.
      const auto phase = duration(random_.Below(kFullInterval.count()));
      engine.full_sent = engine.has_sent ? now : now - phase;
      engine.sent = report;
      engine.has_sent = true;
    } else if (NeedsChange(engine.sent, report)) {
      message.changes.push_back({engine.slot, now - engine.polled, report.running, report.queued,
                                 report.queued_prefill_tokens, KvPerMille(report)});
      engine.sent = report;
    } else {
      message.unchanged.push_back(engine.slot);
      message.unchanged_age = std::max<duration>(message.unchanged_age, now - engine.polled);
    }
  }
  return message;
}

void load_digest_system::SendUpdate(time_point now) {
  if (now < next_update_) return;
  next_update_ = now + kUpdateInterval;
  load_message update = BuildMessage(now);
  if (update.fulls.empty() && update.changes.empty() && update.unchanged.empty()) return;
  update.sequence = ++sequence_;
  counters_.messages.Add();
  counters_.fulls.Add(update.fulls.size());
  counters_.changes.Add(update.changes.size());
  const peer_message message = Encode(update);
  for (const live_peer& peer : peers_.Peers()) {
    if (peer.same_data_centre && peer.linked) peers_.Send(peer.id, message);
  }
}

void load_digest_system::SendSnapshots(time_point now) {
  if (now < next_snapshot_ || !IsSettled(now)) return;
  std::unordered_map<peer_id, incarnation_id> synced;
  peer_id receiver;
  for (const live_peer& peer : peers_.Peers()) {
    if (!peer.same_data_centre || !peer.linked) continue;
    const auto before = synced_.find(peer.id);
    const bool is_new = before == synced_.end() || before->second != peer.incarnation;
    // Peers that have had a snapshot keep their entry; new ones get it one after another.
    if (is_new && receiver) continue;
    if (is_new) receiver = peer.id;
    synced[peer.id] = peer.incarnation;
  }
  synced_ = std::move(synced);
  if (!receiver) return;
  next_snapshot_ = now + kSnapshotInterval;
  load_message snapshot;
  snapshot.snapshot = true;
  snapshot.sequence = sequence_;
  for (auto& [id, engine] : owned_) {
    const upstream* row = upstreams_.Find(id);
    if (row != nullptr && engine.has_sent) snapshot.fulls.push_back(FullOf(engine, *row, now));
  }
  peers_.Send(receiver, Encode(snapshot));
}

void load_digest_system::OnPeerMessage(peer_id from, const peer_message& message) {
  if (IsSnapshotRequest(message)) {
    synced_.erase(from);
    return;
  }
  const std::optional<load_message> update = DecodeLoad(message);
  if (!update) {
    counters_.malformed.Add();
    return;
  }
  if (views_.size() >= kMaxViews && views_.count(from) == 0) views_.clear();
  ApplyMessage(from, *update);
}

void load_digest_system::RequestSnapshot(peer_id from, peer_view& view) {
  const time_point now = clock_.Now();
  // The sender sends new peers a snapshot unasked, one after another.
  if (view.requested_at == time_point())
    view.requested_at = now + kFirstSnapshotWait - kSnapshotRequestInterval;
  if (now - view.requested_at < kSnapshotRequestInterval) return;
  view.requested_at = now;
  counters_.gaps.Add();
  peers_.Send(from, EncodeSnapshotRequest());
}

void load_digest_system::ApplyReport(peer_id from, const load_report& report, time_point made) {
  Write(report, made, from);
  const auto own = owned_.find(report.upstream);
  if (own == owned_.end()) return;
  const std::uint64_t key = report.upstream.value();
  if (RendezvousScore(key, from.value()) < RendezvousScore(key, peers_.self().value())) return;
  own->second.better_report_at = clock_.Now();
}

void load_digest_system::ApplyMessage(peer_id from, const load_message& message) {
  const time_point now = clock_.Now();
  peer_view& view = views_[from];
  if (message.snapshot) {
    view.slots.clear();
    view.complete = true;
    view.requested_at = time_point();
  } else if (message.sequence <= view.sequence && view.complete) {
    return;  // Duplicate or out of order.
  } else if (!view.complete || message.sequence != view.sequence + 1) {
    // A complete view has missed a message and requests a snapshot at once; a new view still waits
    // for its first one.
    if (view.complete) view.requested_at = now - kSnapshotRequestInterval;
    view.complete = false;
    RequestSnapshot(from, view);
    // Full entries do not depend on earlier messages; the slots may stand for other engines now.
    view.slots.clear();
  }
  if (view.complete) view.sequence = message.sequence;
  for (const load_full& full : message.fulls) {
    view.slots[full.slot] = full.report;
    ApplyReport(from, full.report, now - full.age);
  }
  for (const load_change& change : message.changes) {
    const auto slot = view.slots.find(change.slot);
    if (slot == view.slots.end()) continue;
    load_report& slot_report = slot->second;
    slot_report.running = change.running;
    slot_report.queued = change.queued;
    slot_report.queued_prefill_tokens = change.queued_prefill_tokens;
    slot_report.kv_used_bytes = slot_report.kv_total_bytes / 1000 * change.kv_used_per_mille;
    ApplyReport(from, slot_report, now - change.age);
  }
  for (const load_slot unchanged : message.unchanged) {
    const auto slot = view.slots.find(unchanged);
    if (slot != view.slots.end()) ApplyReport(from, slot->second, now - message.unchanged_age);
  }
}

}  // namespace hawthorndrum
