/// What the owner of polls tells the others, and what it does with what they tell.
#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "systems/load_digest_system.h"

namespace hawthorndrum {

namespace {

constexpr duration kSpreadInterval = seconds(1);
/** Each engine is said in full this often, spread over the time by its slot. */
constexpr duration kFullInterval = seconds(60);
/** A count must move by this part of itself, and by one, to be said again. */
constexpr double kCountStep = 0.12;
/** Queued prefill must move by this part of itself, and by one piece of cache. */
constexpr double kTokenFloor = 2000;
constexpr double kRateStep = 0.3;
constexpr std::uint32_t kKvStepPerMille = 30;
/** Full entries in one message; the others wait for the next. */
constexpr std::size_t kMostFulls = 6;
/** Full entries sent to all peers in a second while daemons come together, one a peer at least. */
constexpr std::size_t kMostFullsAtFirst = 24;
constexpr duration kComingTogether = seconds(6);
/** Snapshots go to one peer after another, so that many new links cost no burst. */
constexpr duration kSnapshotPause = milliseconds(500);
/** A first snapshot is awaited this long before it is asked for, an answer that much. */
constexpr duration kFirstSnapshotWait = seconds(14);
constexpr duration kQuestionPause = seconds(4);
constexpr std::size_t kMostViews = 512;

bool Moved(double before, double after, double part, double floor) {
  return std::abs(after - before) >= std::max(floor, part * std::max(before, after));
}

std::uint32_t KvPerMille(const load_report& report) {
  if (report.kv_total_bytes == 0) return 0;
  const double part =
      static_cast<double>(report.kv_used_bytes) / static_cast<double>(report.kv_total_bytes);
  return static_cast<std::uint32_t>(std::clamp(part * 1000, 0.0, 1000.0));
}

bool SameModels(const load_report& a, const load_report& b) {
  return std::equal(a.models.begin(), a.models.end(), b.models.begin(), b.models.end(),
                    [](const loaded_model& x, const loaded_model& y) {
                      return x.name == y.name && x.version == y.version && x.adapters == y.adapters;
                    });
}

/** Whether something changed that only a full entry carries. */
bool NeedsFull(const load_report& sent, const load_report& now) {
  return sent.engine_incarnation != now.engine_incarnation || sent.role != now.role ||
         sent.state != now.state || sent.kv_total_bytes != now.kv_total_bytes ||
         sent.term != now.term || sent.last_order != now.last_order ||
         sent.last_order_progress != now.last_order_progress || !SameModels(sent, now) ||
         Moved(sent.prefill_tokens_per_second, now.prefill_tokens_per_second, kRateStep, 1) ||
         Moved(sent.decode_tokens_per_second, now.decode_tokens_per_second, kRateStep, 1);
}

bool NeedsChange(const load_report& sent, const load_report& now) {
  const auto kv_step =
      std::max(KvPerMille(sent), KvPerMille(now)) - std::min(KvPerMille(sent), KvPerMille(now));
  return Moved(sent.running, now.running, kCountStep, 1) ||
         Moved(sent.queued, now.queued, kCountStep, 1) ||
         Moved(static_cast<double>(sent.queued_prefill_tokens),
               static_cast<double>(now.queued_prefill_tokens), kCountStep, kTokenFloor) ||
         kv_step >= kKvStepPerMille;
}

}  // namespace

load_full load_digest_system::FullOf(owned_engine& engine, const upstream& row, time_point now) {
  return {engine.slot, now - engine.polled, row.report};
}

load_message load_digest_system::CollectNews(time_point now) {
  load_message message;
  const bool coming_together = now - peers_changed_ < kComingTogether;
  const std::size_t peers = std::max<std::size_t>(1, last_peers_.size());
  const std::size_t most_fulls =
      coming_together ? std::max<std::size_t>(1, kMostFullsAtFirst / peers) : kMostFulls;
  for (auto& [id, engine] : owned_) {
    const upstream* row = upstreams_.Find(id);
    if (row == nullptr || !engine.has_news) continue;
    const load_report& report = row->report;
    const bool due = now - engine.full_sent >= kFullInterval;
    const bool full = !engine.has_sent || due || NeedsFull(engine.sent, report);
    if (full && message.fulls.size() >= most_fulls) continue;
    engine.has_news = false;
    if (full) {
      message.fulls.push_back(FullOf(engine, *row, now));
      // The first time is brought forward, so that later ones fall apart.
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

void load_digest_system::SpreadNews(time_point now) {
  if (now < next_spread_) return;
  next_spread_ = now + kSpreadInterval;
  load_message news = CollectNews(now);
  if (news.fulls.empty() && news.changes.empty() && news.unchanged.empty()) return;
  news.sequence = ++sequence_;
  counters_.messages.Add();
  counters_.fulls.Add(news.fulls.size());
  counters_.changes.Add(news.changes.size());
  const peer_message message = Encode(news);
  for (const live_peer& peer : peers_.Peers()) {
    if (peer.same_data_centre && peer.linked) peers_.Send(peer.id, message);
  }
}

void load_digest_system::SendSnapshots(time_point now) {
  if (now < next_snapshot_ || !IsSettled(now)) return;
  std::unordered_map<peer_id, incarnation_id> synced;
  peer_id wanting;
  for (const live_peer& peer : peers_.Peers()) {
    if (!peer.same_data_centre || !peer.linked) continue;
    const auto before = synced_.find(peer.id);
    const bool is_new = before == synced_.end() || before->second != peer.incarnation;
    // All others stay as they are; the new ones take turns.
    if (is_new && wanting) continue;
    if (is_new) wanting = peer.id;
    synced[peer.id] = peer.incarnation;
  }
  synced_ = std::move(synced);
  if (!wanting) return;
  next_snapshot_ = now + kSnapshotPause;
  load_message snapshot;
  snapshot.snapshot = true;
  snapshot.sequence = sequence_;
  for (auto& [id, engine] : owned_) {
    const upstream* row = upstreams_.Find(id);
    if (row != nullptr && engine.has_sent) snapshot.fulls.push_back(FullOf(engine, *row, now));
  }
  peers_.Send(wanting, Encode(snapshot));
}

void load_digest_system::OnPeerMessage(peer_id from, const peer_message& message) {
  if (IsLoadQuestion(message)) {
    synced_.erase(from);
    return;
  }
  const std::optional<load_message> news = DecodeLoad(message);
  if (!news) {
    counters_.malformed.Add();
    return;
  }
  if (views_.size() >= kMostViews && views_.count(from) == 0) views_.clear();
  TakeNews(from, *news);
}

void load_digest_system::AskForSnapshot(peer_id from, peer_view& view) {
  const time_point now = clock_.Now();
  // One that is new to the sender is sent a snapshot in its turn, without asking.
  if (view.asked == time_point()) view.asked = now + kFirstSnapshotWait - kQuestionPause;
  if (now - view.asked < kQuestionPause) return;
  view.asked = now;
  counters_.gaps.Add();
  peers_.Send(from, EncodeLoadQuestion());
}

void load_digest_system::TakeReport(peer_id from, const load_report& report, time_point made) {
  Write(report, made, from);
  const auto own = owned_.find(report.upstream);
  if (own == owned_.end()) return;
  const std::uint64_t key = report.upstream.value();
  if (RendezvousScore(key, from.value()) < RendezvousScore(key, peers_.self().value())) return;
  own->second.better_heard = clock_.Now();
}

void load_digest_system::TakeNews(peer_id from, const load_message& message) {
  const time_point now = clock_.Now();
  peer_view& view = views_[from];
  if (message.snapshot) {
    view.slots.clear();
    view.complete = true;
    view.asked = time_point();
  } else if (message.sequence <= view.sequence && view.complete) {
    return;  // Said before.
  } else if (!view.complete || message.sequence != view.sequence + 1) {
    // One that was whole before has lost a message; another waits for its first snapshot.
    if (view.complete) view.asked = now - kQuestionPause;
    view.complete = false;
    AskForSnapshot(from, view);
    // Full entries need nothing that came before; slots may stand for other engines now.
    view.slots.clear();
  }
  if (view.complete) view.sequence = message.sequence;
  for (const load_full& full : message.fulls) {
    view.slots[full.slot] = full.report;
    TakeReport(from, full.report, now - full.age);
  }
  for (const load_change& change : message.changes) {
    const auto slot = view.slots.find(change.slot);
    if (slot == view.slots.end()) continue;
    load_report& said = slot->second;
    said.running = change.running;
    said.queued = change.queued;
    said.queued_prefill_tokens = change.queued_prefill_tokens;
    said.kv_used_bytes = said.kv_total_bytes / 1000 * change.kv_used_per_mille;
    TakeReport(from, said, now - change.age);
  }
  for (const load_slot unchanged : message.unchanged) {
    const auto slot = view.slots.find(unchanged);
    if (slot != view.slots.end()) TakeReport(from, slot->second, now - message.unchanged_age);
  }
}

}  // namespace hawthorndrum
