/// Assigns the engines that this daemon polls, and stores the reports that they return.
#include "systems/load_digest_system.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "systems/wire_bytes.h"

namespace hawthorndrum {

namespace {

constexpr duration kRunInterval = milliseconds(50);
constexpr duration kMinPollInterval = seconds(1);
constexpr duration kMaxPollInterval = seconds(25);
/** Polls per second that a daemon may make even with many peers. */
constexpr double kMinPollsPerSecond = 4.5;
/** Bytes per second of the network budget for polls and peer links together, and for one link. */
constexpr double kBytesForPollsAndLinks = 6000;
constexpr double kBytesPerLink = 300;
constexpr double kMaxPollBurst = 4;
constexpr duration kPollTimeout = seconds(2);
/** The first polls of newly owned engines are spread over this time. */
constexpr duration kFirstPollSpread = milliseconds(100);
/**
 * Ownership is reassigned once no peer has joined for kSettleTime, and at the latest kMaxSettleTime
 * after the first of a series of joins.
 */
constexpr duration kSettleTime = seconds(1);
constexpr duration kMaxSettleTime = seconds(5);
/**
 * Bounds of the age from which on a report is stale: two poll intervals and a margin. Other daemons
 * then start to poll the engine, one after another by rank, until a report of one of them arrives.
 */
constexpr duration kMinStaleAge = seconds(6);
constexpr duration kMaxStaleAge = seconds(20);
/**
 * No substitute takes over within this time of a peer's joining, as the peer may be a new owner.
 */
constexpr duration kNewOwnerGrace = seconds(5);
constexpr duration kSubstituteStep = milliseconds(500);
constexpr duration kMaxSubstituteWait = seconds(5);
constexpr duration kBetterReportValidity = seconds(3);
constexpr std::size_t kPollRequestBytes = 90;
constexpr std::size_t kPollAnswerBytes = 420;

}  // namespace

load_digest_system::counters::counters(metrics_registry& metrics)
    : polls(metrics.Counter("hawthorndrum_load_polls_total")),
      poll_failures(metrics.Counter("hawthorndrum_load_polls_failed_total")),
      poll_bytes(metrics.Counter("hawthorndrum_load_poll_bytes_total")),
      owned(metrics.Counter("hawthorndrum_load_engines_owned")),
      substitutes(metrics.Counter("hawthorndrum_load_stand_ins_total")),
      messages(metrics.Counter("hawthorndrum_load_messages_total")),
      fulls(metrics.Counter("hawthorndrum_load_entries_total", MetricLabel("kind", "full"))),
      changes(metrics.Counter("hawthorndrum_load_entries_total", MetricLabel("kind", "change"))),
      gaps(metrics.Counter("hawthorndrum_load_gaps_total")),
      malformed(metrics.Counter("hawthorndrum_peer_messages_malformed_total",
                                MetricLabel("part", "load"))),
      stale(metrics.Counter("hawthorndrum_load_reports_stale")) {}

load_digest_system::load_digest_system(upstream_table& upstreams, peer_port& peers,
                                       engine_port& engines, const clock& time,
                                       random_source& random, metrics_registry& metrics)
    : upstreams_(upstreams),
      peers_(peers),
      engines_(engines),
      clock_(time),
      random_(random),
      counters_(metrics),
      peers_changed_(time.Now()),
      change_began_(time.Now()),
      poll_refill_(time.Now()) {}

bool load_digest_system::Owns(upstream_id upstream) const { return owned_.count(upstream) != 0; }

std::size_t load_digest_system::RankFor(upstream_id upstream) const {
  const std::uint64_t own = RendezvousScore(upstream.value(), peers_.self().value());
  std::size_t before = 0;
  for (const live_peer& peer : peers_.Peers()) {
    if (!peer.same_data_centre) continue;
    if (RendezvousScore(upstream.value(), peer.id.value()) > own) ++before;
  }
  return before;
}

load_slot load_digest_system::FreeSlot() const {
  std::vector<bool> taken(owned_.size() + 1, false);
  for (const auto& [id, engine] : owned_) {
    if (engine.slot < taken.size()) taken[engine.slot] = true;
  }
  return static_cast<load_slot>(std::find(taken.begin(), taken.end(), false) - taken.begin());
}

void load_digest_system::TakeOwnership(upstream_id upstream, time_point now, bool is_substitute) {
  if (owned_.size() >= kMaxLoadSlots) return;
  owned_engine engine;
  engine.slot = FreeSlot();
  engine.is_substitute = is_substitute;
  engine.next_poll = now + duration(random_.Below(kFirstPollSpread.count()));
  if (is_substitute) counters_.substitutes.Add();
  owned_.emplace(upstream, std::move(engine));
}

void load_digest_system::ReassignOwners(time_point now) {
  for (auto it = owned_.begin(); it != owned_.end();) {
    const upstream* row = upstreams_.Find(it->first);
    if (row == nullptr) sources_.erase(it->first);
    it = row == nullptr ? owned_.erase(it) : std::next(it);
  }
  std::size_t stale = 0;
  const duration stale_after = StaleAfter();
  for (const upstream& row : upstreams_) {
    if (row.kind != host_kind::kEngine) continue;
    const std::size_t rank = RankFor(row.id);
    const auto present = owned_.find(row.id);
    const duration age = now - row.report_time;
    const bool is_stale = row.has_report && age > stale_after;
    if (is_stale) ++stale;
    if (rank == 0) {
      if (present == owned_.end()) {
        TakeOwnership(row.id, now, false);
      } else {
        present->second.is_substitute = false;
      }
      continue;
    }
    if (present == owned_.end()) {
      const duration wait =
          std::min<duration>(kSubstituteStep * static_cast<int>(rank), kMaxSubstituteWait);
      const bool had_time = now - peers_changed_ > kNewOwnerGrace;
      if (row.has_report && had_time && age > stale_after + wait) TakeOwnership(row.id, now, true);
      continue;
    }
    // Another daemon owns the engine. A former owner stops at once, a substitute when a report of a
    // daemon with better rank has arrived.
    const owned_engine& engine = present->second;
    const bool is_covered = now - engine.better_report_at < kBetterReportValidity;
    if (!engine.is_substitute || is_covered) owned_.erase(present);
  }
  counters_.owned.Set(owned_.size());
  counters_.stale.Set(stale);
}

void load_digest_system::DetectPeerChange(time_point now) {
  std::vector<peer_id> present;
  for (const live_peer& peer : peers_.Peers()) {
    if (peer.same_data_centre) present.push_back(peer.id);
  }
  if (present == last_peers_) return;
  // Engines of a peer that left have no owner and are reassigned at once; only joins delay that.
  const bool has_new =
      !std::includes(last_peers_.begin(), last_peers_.end(), present.begin(), present.end());
  if (has_new && now - peers_changed_ >= kSettleTime) change_began_ = now;
  if (has_new) peers_changed_ = now;
  last_peers_ = std::move(present);
}

bool load_digest_system::IsSettled(time_point now) const {
  if (now - peers_changed_ >= kSettleTime) return true;
  return now - change_began_ >= kMaxSettleTime;
}

double load_digest_system::PollsPerSecond() const {
  const double left =
      kBytesForPollsAndLinks - kBytesPerLink * static_cast<double>(last_peers_.size());
  const double each = WireBytesOfHttpCall(kPollRequestBytes, kPollAnswerBytes);
  return std::max(kMinPollsPerSecond, left / each);
}

duration load_digest_system::PollInterval() const {
  const double wanted = static_cast<double>(owned_.size()) / PollsPerSecond();
  const auto interval = duration(static_cast<duration::rep>(wanted * 1e6));
  return std::clamp<duration>(interval, kMinPollInterval, kMaxPollInterval);
}

duration load_digest_system::StaleAfter() const {
  // Other daemons own about as many engines as this one, and poll them about as often.
  const duration two_polls = 2 * PollInterval() + seconds(2);
  return std::clamp<duration>(two_polls, kMinStaleAge, kMaxStaleAge);
}

void load_digest_system::PollDue(time_point now) {
  const duration interval = PollInterval();
  poll_tokens_ =
      std::min(kMaxPollBurst, poll_tokens_ + 2 * PollsPerSecond() * ToSeconds(now - poll_refill_));
  poll_refill_ = now;
  for (auto& [id, engine] : owned_) {
    if (engine.requested_at != time_point() && now - engine.requested_at > kPollTimeout) {
      engine.requested_at = time_point();
      ++engine.failures;
      counters_.poll_failures.Add();
    }
    if (now < engine.next_poll || engine.requested_at != time_point() || poll_tokens_ < 1) continue;
    const upstream* row = upstreams_.Find(id);
    if (row == nullptr) continue;
    poll_tokens_ -= 1;
    engine.requested_at = now;
    engine.next_poll = std::max(engine.next_poll + interval, now + interval / 2);
    counters_.polls.Add();
    counters_.poll_bytes.Add(WireBytesOfHttpCall(kPollRequestBytes, kPollAnswerBytes));
    engines_.PollLoad(id, row->address);
  }
}

void load_digest_system::PollUnknown(time_point now) {
  for (const upstream& row : upstreams_) {
    if (poll_tokens_ < 1) return;
    if (row.kind != host_kind::kEngine || row.has_report || owned_.count(row.id) != 0) continue;
    time_point& requested_at = unowned_polls_[row.id];
    if (requested_at != time_point() && now - requested_at < kPollTimeout) continue;
    requested_at = now;
    poll_tokens_ -= 1;
    counters_.polls.Add();
    counters_.poll_bytes.Add(WireBytesOfHttpCall(kPollRequestBytes, kPollAnswerBytes));
    engines_.PollLoad(row.id, row.address);
  }
}

void load_digest_system::Write(const load_report& report, time_point made, peer_id source) {
  upstream* row = upstreams_.Find(report.upstream);
  if (row == nullptr) return;
  peer_id& held_source = sources_[report.upstream];
  // Ages leave out the transit time of messages, so times of one source may not seem to advance.
  const bool in_order = held_source == source;
  if (row->has_report && made <= row->report_time && !in_order) return;
  held_source = source;
  row->report = report;
  row->report_time = row->has_report ? std::max(row->report_time, made) : made;
  row->has_report = true;
}

void load_digest_system::OnLoadReport(const load_report& report) {
  const time_point now = clock_.Now();
  Write(report, now, peers_.self());
  const auto found = owned_.find(report.upstream);
  if (found == owned_.end()) return;
  found->second.requested_at = time_point();
  found->second.polled = now;
  found->second.failures = 0;
  found->second.has_unsent_report = true;
}

void load_digest_system::OnLoadFailed(upstream_id upstream) {
  counters_.poll_failures.Add();
  const auto found = owned_.find(upstream);
  if (found == owned_.end()) return;
  found->second.requested_at = time_point();
  ++found->second.failures;
}

void load_digest_system::Run(time_point now) {
  if (now < next_run_) return;
  next_run_ = now + kRunInterval;
  DetectPeerChange(now);
  if (IsSettled(now)) ReassignOwners(now);
  PollDue(now);
  PollUnknown(now);
  SendSnapshots(now);
  SendUpdate(now);
}

std::size_t load_digest_system::MemoryBytes() const {
  constexpr std::size_t kNode = 4 * sizeof(void*);
  std::size_t bytes = 0;
  for (const auto& [id, engine] : owned_) {
    bytes += sizeof(owned_engine) + kNode;
    bytes += engine.sent.models.capacity() * sizeof(loaded_model);
  }
  for (const auto& [peer, view] : views_) {
    bytes += sizeof(peer_view) + view.slots.size() * (sizeof(load_report) + kNode);
    for (const auto& [slot, slot_report] : view.slots) {
      bytes += slot_report.models.capacity() * sizeof(loaded_model);
    }
  }
  return bytes;
}

}  // namespace hawthorndrum
