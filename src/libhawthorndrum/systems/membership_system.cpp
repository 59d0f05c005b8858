/// Failure detection and the handling of membership messages.
#include "systems/membership_system.h"

#include <algorithm>

#include "base/hash.h"
#include "systems/backoff.h"

namespace hawthorndrum {

namespace {

constexpr duration kProbeInterval = milliseconds(300);
constexpr duration kSuspectProbeInterval = seconds(2);
constexpr std::size_t kProbeHelpers = 3;
/** Time after a link reset until a peer that no daemon receives from is suspect. */
constexpr duration kResetGrace = milliseconds(500);
/**
 * Maximum age of a frame that shows a peer is alive: a daemon answers a probe for the peer, and
 * refuses another daemon at its address, only within this time.
 */
constexpr duration kRecentFrameAge = milliseconds(1500);
/** Gap between two ticks from which this daemon considers itself to have been paused. */
constexpr duration kOwnPauseThreshold = seconds(1);
/** Time for which views may differ before member lists are sent. */
constexpr duration kViewDifferenceTimeout = seconds(3);
constexpr duration kMembersIntervalPerPeer = seconds(5);
/** Minimum interval between member lists to any peers; avoids a burst after a common restart. */
constexpr duration kMembersInterval = milliseconds(500);
/** Time after a change of view for which heartbeats are sent every second. */
constexpr duration kSettleTime = seconds(5);
/** Heartbeat interval while all views agree. */
constexpr duration kSettledHeartbeatInterval = seconds(10);
constexpr std::size_t kMaxRetired = 256;
constexpr std::size_t kMaxPeers = 4096;
constexpr double kMaxDialBurst = 4;
/** Minimum interval between runs; ticks that come sooner are skipped. */
constexpr duration kMinRunInterval = milliseconds(50);

}  // namespace

membership_system::counters::counters(metrics_registry& metrics)
    : alive(metrics.Counter("hawthorndrum_peers", MetricLabel("state", "alive"))),
      known(metrics.Counter("hawthorndrum_peers", MetricLabel("state", "known"))),
      suspicions(metrics.Counter("hawthorndrum_peer_suspicions_total")),
      deaths(metrics.Counter("hawthorndrum_peer_deaths_total")),
      restarts(metrics.Counter("hawthorndrum_peer_restarts_total")),
      refused_incarnations(metrics.Counter("hawthorndrum_peer_incarnations_refused_total")),
      probes(metrics.Counter("hawthorndrum_peer_probes_total")),
      own_pauses(metrics.Counter("hawthorndrum_own_pauses_total")),
      malformed(metrics.Counter("hawthorndrum_peer_messages_malformed_total",
                                MetricLabel("part", "membership"))) {}

membership_system::membership_system(const membership_settings& settings, peer_router& router,
                                     const clock& time, random_source& random,
                                     metrics_registry& metrics)
    : router_(router),
      clock_(time),
      random_(random),
      counters_(metrics),
      last_run_(time.Now()),
      dial_tokens_(kMaxDialBurst) {
  router_.SetObserver(*this);
  for (const peer_topic topic : {peer_topic::kHeartbeat, peer_topic::kProbeRequest,
                                 peer_topic::kProbeAnswer, peer_topic::kMembers}) {
    router_.Register(topic, *this);
  }
  for (const std::string& address : settings.seeds) {
    if (PeerIdOf(address) != router_.self()) FindOrAdd(address).seed = true;
  }
}

peer& membership_system::FindOrAdd(std::string_view address) {
  const peer_id id = PeerIdOf(address);
  if (peer* present = peers_.Find(id)) return *present;
  peer row;
  row.id = id;
  row.identity.id = id;
  row.identity.address = address;
  row.state_since = clock_.Now();
  row.unlinked_at = clock_.Now();
  row.next_dial = clock_.Now() + duration(random_.Below(kInitialDialBackoff.count()));
  return peers_.Insert(std::move(row));
}

bool membership_system::IsOwnDataCentre(const peer& row) const {
  return row.identity.data_centre == router_.identity().data_centre;
}

bool membership_system::IsRetired(incarnation_id incarnation) const {
  return std::find(retired_.begin(), retired_.end(), incarnation) != retired_.end();
}

void membership_system::Retire(incarnation_id incarnation) {
  retired_.push_back(incarnation);
  if (retired_.size() > kMaxRetired) retired_.pop_front();
}

void membership_system::SetState(peer& row, peer_state state) {
  if (row.state == state) return;
  if (state == peer_state::kSuspect) counters_.suspicions.Add();
  if (state == peer_state::kDead) counters_.deaths.Add();
  row.state = state;
  row.state_since = clock_.Now();
  changed_ = true;
}

void membership_system::OnHostList(boost::span<const host_entry> hosts) {
  for (peer& row : peers_) row.listed = false;
  for (const host_entry& host : hosts) {
    if (host.kind != host_kind::kDaemon || host.address.empty()) continue;
    if (PeerIdOf(host.address) == router_.self() || peers_.size() >= kMaxPeers) continue;
    peer& row = FindOrAdd(host.address);
    row.listed = !host.leaving;
    // A daemon's own hello takes precedence over the host list.
    if (!row.identity.incarnation) row.identity.data_centre = host.data_centre;
  }
}

bool membership_system::OnPeerHello(const daemon_identity& hello) {
  const peer* row = peers_.Find(hello.id);
  const bool is_new = row == nullptr || row->identity.incarnation != hello.incarnation;
  if (!is_new) return true;
  // When two daemons claim one address, the one with a recent frame keeps it.
  const bool is_in_use = row != nullptr && row->state == peer_state::kAlive &&
                         router_.IsLinked(hello.id) &&
                         clock_.Now() - row->last_received < kRecentFrameAge;
  if (!IsRetired(hello.incarnation) && !is_in_use) return true;
  counters_.refused_incarnations.Add();
  return false;
}

void membership_system::OnPeerLinked(const daemon_identity& hello) {
  peer& row = FindOrAdd(hello.address);
  const incarnation_id before = row.identity.incarnation;
  if (before && before != hello.incarnation) {
    Retire(before);
    counters_.restarts.Add();
  }
  row.identity = hello;
  row.last_received = clock_.Now();
  row.last_confirmed = time_point();
  row.linked_at = clock_.Now();
  row.views_differ_since = time_point();
  row.dials = 0;
  SetState(row, peer_state::kAlive);
  changed_ = true;
}

void membership_system::OnFrameReceived(peer_id id) {
  peer* row = peers_.Find(id);
  if (row == nullptr) return;
  row->last_received = clock_.Now();
  SetState(*row, peer_state::kAlive);
}

void membership_system::OnPeerUnlinked(peer_id id) {
  peer* row = peers_.Find(id);
  if (row == nullptr) return;
  row->unlinked_at = clock_.Now();
  row->next_dial = clock_.Now() + duration(random_.Below(kInitialDialBackoff.count()));
  // Indirect probes cover only the own data centre, so no other daemon can confirm this one.
  if (!IsOwnDataCentre(*row)) SetState(*row, peer_state::kSuspect);
  changed_ = true;
}

void membership_system::OnDialFailed(std::string_view address) {
  peer* row = peers_.Find(PeerIdOf(address));
  if (row == nullptr) return;
  row->next_dial =
      clock_.Now() + JitteredDelay(row->dials, kInitialDialBackoff, kMaxDialBackoff, random_);
  row->unreachable_until = clock_.Now() + seconds(30);
}

void membership_system::OnPeerMessage(peer_id from, const peer_message& message) {
  peer* row = peers_.Find(from);
  if (row == nullptr) return;
  if (message.topic == peer_topic::kHeartbeat) {
    if (const auto heartbeat = DecodeHeartbeat(message)) {
      return CompareViews(*row, heartbeat->view_hash);
    }
  } else if (message.topic == peer_topic::kProbeRequest) {
    if (const auto request = DecodeProbeRequest(message)) return HandleProbeRequest(from, *request);
  } else if (message.topic == peer_topic::kProbeAnswer) {
    if (const auto answer = DecodeProbeAnswer(message)) return HandleProbeAnswer(*answer);
  } else if (message.topic == peer_topic::kMembers) {
    if (const auto members = DecodeMembers(message)) return HandleMembers(*row, *members);
  }
  counters_.malformed.Add();
}

void membership_system::HandleProbeRequest(peer_id from, const probe_request& request) {
  const peer* row = peers_.Find(request.target);
  if (row == nullptr || !router_.IsLinked(request.target)) return;
  const duration age = clock_.Now() - row->last_received;
  if (row->state != peer_state::kAlive || age > kRecentFrameAge) return;
  router_.Send(from, Encode(probe_answer{request.target, row->identity.incarnation, age}));
}

void membership_system::HandleProbeAnswer(const probe_answer& answer) {
  peer* row = peers_.Find(answer.target);
  if (row == nullptr || row->identity.incarnation != answer.incarnation) return;
  row->last_confirmed = std::max(row->last_confirmed, clock_.Now() - answer.age);
}

void membership_system::HandleMembers(const peer& from, const members_message& message) {
  const bool from_other_data_centre = !IsOwnDataCentre(from);
  const std::size_t known_before = peers_.size();
  for (const daemon_identity& member : message.members) {
    if (member.id == router_.self() || IsRetired(member.incarnation)) continue;
    if (peers_.size() >= kMaxPeers) return;
    peer& row = FindOrAdd(member.address);
    if (!row.identity.incarnation) {
      row.identity.data_centre = member.data_centre;
      row.identity.region = member.region;
    }
  }
  // Another relay must know which addresses to dial when this one fails.
  if (!from_other_data_centre || peers_.size() == known_before) return;
  for (const live_peer& other : router_.Peers()) {
    if (other.linked && other.same_data_centre) router_.Send(other.id, Encode(message));
  }
}

void membership_system::CompareViews(peer& row, std::uint64_t other_hash) {
  if (!IsOwnDataCentre(row) || other_hash == ViewHash()) {
    row.views_differ_since = time_point();
    return;
  }
  const time_point now = clock_.Now();
  if (row.views_differ_since == time_point()) row.views_differ_since = now;
  if (now - row.views_differ_since < kViewDifferenceTimeout) return;
  if (now - row.members_sent < kMembersIntervalPerPeer || now < next_members_) return;
  next_members_ = now + kMembersInterval;
  SendMembers(row);
}

void membership_system::SendMembers(peer& row) {
  row.members_sent = clock_.Now();
  members_message message;
  message.members.push_back(router_.identity());
  for (const peer& other : peers_) {
    if (other.state == peer_state::kAlive && other.id != row.id) {
      message.members.push_back(other.identity);
    }
  }
  router_.Send(row.id, Encode(message));
}

std::uint64_t membership_system::ViewHash() const {
  // Sums the scores so that the hash does not depend on the order of rows.
  std::uint64_t sum =
      RendezvousScore(router_.self().value(), router_.identity().incarnation.value());
  for (const peer& row : peers_) {
    if (row.state != peer_state::kAlive || !IsOwnDataCentre(row)) continue;
    sum += RendezvousScore(row.id.value(), row.identity.incarnation.value());
  }
  return sum;
}

void membership_system::DetectOwnPause(time_point now) {
  const duration gap = now - last_run_;
  last_run_ = now;
  if (gap < kOwnPauseThreshold) return;
  // Frames that arrived during the pause may be unread, so the pause does not count as silence.
  counters_.own_pauses.Add();
  for (peer& row : peers_) {
    if (row.state == peer_state::kAlive) row.last_received += gap;
  }
}

void membership_system::UpdateState(peer& row, time_point now) {
  if (row.state == peer_state::kCandidate || row.state == peer_state::kDead) return;
  const bool linked = router_.IsLinked(row.id);
  const time_point last_evidence = std::max(row.last_received, row.last_confirmed);
  const bool is_silent = now - row.last_received > kProbeAfter;
  if ((is_silent || !linked) && IsOwnDataCentre(row)) ProbeIndirectly(row, now);
  if (row.state == peer_state::kAlive) {
    // A reset counts only if frames had arrived shortly before; after silence it adds nothing.
    const bool was_receiving = row.unlinked_at - row.last_received < kProbeAfter;
    const bool reset = !linked && was_receiving && now - row.unlinked_at > kResetGrace &&
                       last_evidence <= row.unlinked_at;
    if (reset || now - last_evidence > kSuspectAfter) SetState(row, peer_state::kSuspect);
  } else if (row.last_confirmed > row.state_since) {
    SetState(row, peer_state::kAlive);
  } else if (now - row.state_since > kDeadAfter) {
    SetState(row, peer_state::kDead);
  }
  // A silent link is closed and dialled again, even if other daemons confirm the peer.
  if (linked && now - row.last_received > kDeadAfter) router_.Disconnect(row.id);
}

void membership_system::ProbeIndirectly(peer& row, time_point now) {
  const bool alive = row.state == peer_state::kAlive;
  if (now - row.last_probe < (alive ? kProbeInterval : kSuspectProbeInterval)) return;
  row.last_probe = now;
  std::vector<peer_id> helpers;
  for (const peer& other : peers_) {
    const bool can_help = other.id != row.id && other.state == peer_state::kAlive &&
                          IsOwnDataCentre(other) && router_.IsLinked(other.id);
    if (can_help) helpers.push_back(other.id);
  }
  for (std::size_t i = 0; i < kProbeHelpers && !helpers.empty(); ++i) {
    std::swap(helpers[random_.Below(helpers.size())], helpers.back());
    counters_.probes.Add();
    router_.Send(helpers.back(), Encode(probe_request{row.id}));
    helpers.pop_back();
  }
}

void membership_system::SendHeartbeats(time_point now) {
  if (now < next_heartbeat_) return;
  const std::uint64_t hash = ViewHash();
  if (hash != sent_hash_) unsettled_until_ = now + kSettleTime;
  for (const peer& row : peers_) {
    if (row.views_differ_since != time_point()) unsettled_until_ = now + kSettleTime;
  }
  sent_hash_ = hash;
  // The router sends a frame every second in any case, which shows that this daemon is alive.
  next_heartbeat_ = now + (now < unsettled_until_ ? kFrameInterval : kSettledHeartbeatInterval);
  const peer_message heartbeat = Encode(heartbeat_message{hash});
  for (const live_peer& peer : router_.Peers()) {
    if (peer.linked) router_.Send(peer.id, heartbeat);
  }
}

void membership_system::Publish() {
  if (!changed_) return;
  changed_ = false;
  std::vector<live_peer> alive;
  for (const peer& row : peers_) {
    if (row.state != peer_state::kAlive) continue;
    const bool own = IsOwnDataCentre(row);
    if (!own && !router_.IsLinked(row.id)) continue;
    alive.push_back({row.id, row.identity.incarnation, own, false});
  }
  next_heartbeat_ = std::min(next_heartbeat_, clock_.Now() + kFrameInterval);
  counters_.alive.Set(alive.size());
  counters_.known.Set(peers_.size());
  router_.SetPeers(std::move(alive));
}

void membership_system::RemoveExpired(time_point now) {
  std::vector<peer_id> expired;
  for (const peer& row : peers_) {
    const bool idle = row.state == peer_state::kDead || row.state == peer_state::kCandidate;
    if (row.seed || row.listed || !idle) continue;
    if (now - row.state_since > kForgetAfter) expired.push_back(row.id);
  }
  for (const peer_id id : expired) peers_.Erase(id);
}

void membership_system::Run(time_point now) {
  const duration passed = now - last_run_;
  if (passed < kMinRunInterval && !changed_) return;
  DetectOwnPause(now);
  dial_tokens_ = std::min(kMaxDialBurst, dial_tokens_ + kMaxDialBurst * ToSeconds(passed));
  // UpdateState may close links, which changes rows but never adds or removes any.
  for (peer& row : peers_) UpdateState(row, now);
  RemoveExpired(now);
  DialOwnDataCentre(now);
  DialRelays(now);
  Publish();
  SendHeartbeats(now);
}

std::size_t membership_system::MemoryBytes() const {
  std::size_t bytes = retired_.size() * sizeof(incarnation_id);
  for (const peer& row : peers_) {
    bytes += sizeof(peer) + row.identity.address.capacity() + row.identity.region.capacity() +
             row.identity.data_centre.capacity() + 2 * sizeof(void*) + sizeof(peer_id);
  }
  return bytes;
}

}  // namespace hawthorndrum
