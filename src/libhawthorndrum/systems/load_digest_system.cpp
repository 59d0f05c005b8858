/// Ownership of polls, and the reports that come in from engines.
#include "systems/load_digest_system.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "systems/wire_bytes.h"

namespace hawthorndrum {

namespace {

constexpr duration kRunPause = milliseconds(50);
constexpr duration kShortestPollInterval = seconds(1);
constexpr duration kLongestPollInterval = seconds(25);
/** The polls a second that a daemon with many peers may make. */
constexpr double kFewestPollsPerSecond = 4.5;
/** What polls and links may take of the budget, and what a link takes. */
constexpr double kBytesForPollsAndLinks = 6000;
constexpr double kBytesPerLink = 300;
constexpr double kMostPollsAtOnce = 4;
constexpr duration kPollTimeout = seconds(2);
/** First polls of engines newly owned are spread over this time. */
constexpr duration kFirstPollSpread = milliseconds(100);
/** Ownership waits for the peers to be the same for this long, but not longer than the latter. */
constexpr duration kSettleTime = seconds(1);
constexpr duration kLongestSettle = seconds(5);
/** A report this old, and older than two polls take, makes the others poll one after another by
 * rank, until one's word arrives. */
constexpr duration kShortestStale = seconds(6);
constexpr duration kLongestStale = seconds(20);
/** An owner that came lately is not stood in for until then. */
constexpr duration kFirstWordTime = seconds(5);
constexpr duration kStandInStep = milliseconds(500);
constexpr duration kLongestStandInWait = seconds(5);
constexpr duration kFreshWord = seconds(3);
constexpr std::size_t kPollRequestBytes = 90;
constexpr std::size_t kPollAnswerBytes = 420;

}  // namespace

load_digest_system::counters::counters(metrics_registry& metrics)
    : polls(metrics.Counter("hawthorndrum_load_polls_total")),
      poll_failures(metrics.Counter("hawthorndrum_load_polls_failed_total")),
      poll_bytes(metrics.Counter("hawthorndrum_load_poll_bytes_total")),
      owned(metrics.Counter("hawthorndrum_load_engines_owned")),
      stand_ins(metrics.Counter("hawthorndrum_load_stand_ins_total")),
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
      changing_since_(time.Now()),
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

void load_digest_system::Own(upstream_id upstream, time_point now, bool stand_in) {
  if (owned_.size() >= kMostLoadSlots) return;
  owned_engine engine;
  engine.slot = FreeSlot();
  engine.stand_in = stand_in;
  engine.next_poll = now + duration(random_.Below(kFirstPollSpread.count()));
  if (stand_in) counters_.stand_ins.Add();
  owned_.emplace(upstream, std::move(engine));
}

void load_digest_system::ReassignOwners(time_point now) {
  for (auto place = owned_.begin(); place != owned_.end();) {
    const upstream* row = upstreams_.Find(place->first);
    if (row == nullptr) sources_.erase(place->first);
    place = row == nullptr ? owned_.erase(place) : std::next(place);
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
        Own(row.id, now, false);
      } else {
        present->second.stand_in = false;
      }
      continue;
    }
    if (present == owned_.end()) {
      const duration wait =
          std::min<duration>(kStandInStep * static_cast<int>(rank), kLongestStandInWait);
      const bool had_time = now - peers_changed_ > kFirstWordTime;
      if (row.has_report && had_time && age > stale_after + wait) Own(row.id, now, true);
      continue;
    }
    // Another owns it: let go, but stand in until one of better rank is heard to tell of it.
    const owned_engine& engine = present->second;
    const bool is_covered = now - engine.better_heard < kFreshWord;
    if (!engine.stand_in || is_covered) owned_.erase(present);
  }
  counters_.owned.Set(owned_.size());
  counters_.stale.Set(stale);
}

void load_digest_system::NoticeChangeOfPeers(time_point now) {
  std::vector<peer_id> present;
  for (const live_peer& peer : peers_.Peers()) {
    if (peer.same_data_centre) present.push_back(peer.id);
  }
  if (present == last_peers_) return;
  // One that left leaves a gap, to be filled at once; those that come do not.
  const bool has_new =
      !std::includes(last_peers_.begin(), last_peers_.end(), present.begin(), present.end());
  if (has_new && now - peers_changed_ >= kSettleTime) changing_since_ = now;
  if (has_new) peers_changed_ = now;
  last_peers_ = std::move(present);
}

bool load_digest_system::IsSettled(time_point now) const {
  if (now - peers_changed_ >= kSettleTime) return true;
  return now - changing_since_ >= kLongestSettle;
}

double load_digest_system::PollsPerSecond() const {
  const double left =
      kBytesForPollsAndLinks - kBytesPerLink * static_cast<double>(last_peers_.size());
  const double each = WireBytesOfHttpCall(kPollRequestBytes, kPollAnswerBytes);
  return std::max(kFewestPollsPerSecond, left / each);
}

duration load_digest_system::PollInterval() const {
  const double wanted = static_cast<double>(owned_.size()) / PollsPerSecond();
  const auto interval = duration(static_cast<duration::rep>(wanted * 1e6));
  return std::clamp<duration>(interval, kShortestPollInterval, kLongestPollInterval);
}

duration load_digest_system::StaleAfter() const {
  // The others own about as many engines, and poll them about as often.
  const duration two_polls = 2 * PollInterval() + seconds(2);
  return std::clamp<duration>(two_polls, kShortestStale, kLongestStale);
}

void load_digest_system::PollDue(time_point now) {
  const duration interval = PollInterval();
  poll_tokens_ = std::min(kMostPollsAtOnce,
                          poll_tokens_ + 2 * PollsPerSecond() * ToSeconds(now - poll_refill_));
  poll_refill_ = now;
  for (auto& [id, engine] : owned_) {
    if (engine.asked != time_point() && now - engine.asked > kPollTimeout) {
      engine.asked = time_point();
      ++engine.failures;
      counters_.poll_failures.Add();
    }
    if (now < engine.next_poll || engine.asked != time_point() || poll_tokens_ < 1) continue;
    const upstream* row = upstreams_.Find(id);
    if (row == nullptr) continue;
    poll_tokens_ -= 1;
    engine.asked = now;
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
    time_point& asked = first_asked_[row.id];
    if (asked != time_point() && now - asked < kPollTimeout) continue;
    asked = now;
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
  // Ages pass over the way of a message, so times of one source may seem to stand still.
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
  found->second.asked = time_point();
  found->second.polled = now;
  found->second.failures = 0;
  found->second.has_news = true;
}

void load_digest_system::OnLoadFailed(upstream_id upstream) {
  counters_.poll_failures.Add();
  const auto found = owned_.find(upstream);
  if (found == owned_.end()) return;
  found->second.asked = time_point();
  ++found->second.failures;
}

void load_digest_system::Run(time_point now) {
  if (now < next_run_) return;
  next_run_ = now + kRunPause;
  NoticeChangeOfPeers(now);
  if (IsSettled(now)) ReassignOwners(now);
  PollDue(now);
  PollUnknown(now);
  SendSnapshots(now);
  SpreadNews(now);
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
    for (const auto& [slot, said] : view.slots) {
      bytes += said.models.capacity() * sizeof(loaded_model);
    }
  }
  return bytes;
}

}  // namespace hawthorndrum
