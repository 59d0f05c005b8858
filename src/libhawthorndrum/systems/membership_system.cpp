/// Failure detection and what membership's messages do.
#include "systems/membership_system.h"

#include <algorithm>

#include "base/hash.h"
#include "systems/backoff.h"

namespace hawthorndrum {

namespace {

constexpr duration kProbePause = milliseconds(300);
constexpr duration kSuspectProbePause = seconds(2);
constexpr std::size_t kProbeHelpers = 3;
/** A peer whose link was reset, and of which nobody hears, is suspected after this. */
constexpr duration kResetGrace = milliseconds(500);
/** Another's word counts only when it heard of the peer within this time. */
constexpr duration kFreshWord = milliseconds(1500);
/** A gap between two ticks from which on this daemon takes itself to have been paused. */
constexpr duration kOwnPause = seconds(1);
/** Views that differ longer than this are compared member by member. */
constexpr duration kViewsMayDiffer = seconds(3);
constexpr duration kMembersPause = seconds(5);
/** Between lists of members to any peers, so that a common restart costs no burst. */
constexpr duration kMembersSpacing = milliseconds(500);
/** Views are said every second for this long after a change, and seldom when all agree. */
constexpr duration kSettleTime = seconds(5);
constexpr duration kQuietHeartbeat = seconds(10);
constexpr std::size_t kMostRetired = 256;
constexpr std::size_t kMostPeers = 4096;
constexpr double kMostDialsAtOnce = 4;
/** Ticks that follow each other faster change nothing here. */
constexpr duration kRunPause = milliseconds(50);

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
      dial_tokens_(kMostDialsAtOnce) {
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
  row.next_dial = clock_.Now() + duration(random_.Below(kFirstDialPause.count()));
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
  if (retired_.size() > kMostRetired) retired_.pop_front();
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
    if (PeerIdOf(host.address) == router_.self() || peers_.size() >= kMostPeers) continue;
    peer& row = FindOrAdd(host.address);
    row.listed = !host.leaving;
    // What a daemon said of itself goes before the list.
    if (!row.identity.incarnation) row.identity.data_centre = host.data_centre;
  }
}

bool membership_system::OnPeerHello(const daemon_identity& said) {
  const peer* row = peers_.Find(said.id);
  const bool is_new = row == nullptr || row->identity.incarnation != said.incarnation;
  if (!is_new) return true;
  // Two daemons at one address: the one that is heard of now keeps it.
  const bool is_held = row != nullptr && row->state == peer_state::kAlive &&
                       router_.IsLinked(said.id) && clock_.Now() - row->heard < kFreshWord;
  if (!IsRetired(said.incarnation) && !is_held) return true;
  counters_.refused_incarnations.Add();
  return false;
}

void membership_system::OnPeerLinked(const daemon_identity& said) {
  peer& row = FindOrAdd(said.address);
  const incarnation_id before = row.identity.incarnation;
  if (before && before != said.incarnation) {
    Retire(before);
    counters_.restarts.Add();
  }
  row.identity = said;
  row.heard = clock_.Now();
  row.vouched = time_point();
  row.linked_at = clock_.Now();
  row.views_differ_since = time_point();
  row.dials = 0;
  SetState(row, peer_state::kAlive);
  changed_ = true;
}

void membership_system::OnPeerHeard(peer_id id) {
  peer* row = peers_.Find(id);
  if (row == nullptr) return;
  row->heard = clock_.Now();
  SetState(*row, peer_state::kAlive);
}

void membership_system::OnPeerUnlinked(peer_id id) {
  peer* row = peers_.Find(id);
  if (row == nullptr) return;
  row->unlinked_at = clock_.Now();
  row->next_dial = clock_.Now() + duration(random_.Below(kFirstDialPause.count()));
  // Nobody else can vouch for a daemon of another data centre.
  if (!IsOwnDataCentre(*row)) SetState(*row, peer_state::kSuspect);
  changed_ = true;
}

void membership_system::OnDialFailed(std::string_view address) {
  peer* row = peers_.Find(PeerIdOf(address));
  if (row == nullptr) return;
  row->next_dial =
      clock_.Now() + JitteredDelay(row->dials, kFirstDialPause, kLongestDialPause, random_);
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
    if (const auto request = DecodeProbeRequest(message)) return TakeProbeRequest(from, *request);
  } else if (message.topic == peer_topic::kProbeAnswer) {
    if (const auto answer = DecodeProbeAnswer(message)) return TakeProbeAnswer(*answer);
  } else if (message.topic == peer_topic::kMembers) {
    if (const auto members = DecodeMembers(message)) return TakeMembers(*row, *members);
  }
  counters_.malformed.Add();
}

void membership_system::TakeProbeRequest(peer_id from, const probe_request& request) {
  const peer* row = peers_.Find(request.target);
  if (row == nullptr || !router_.IsLinked(request.target)) return;
  const duration age = clock_.Now() - row->heard;
  if (row->state != peer_state::kAlive || age > kFreshWord) return;
  router_.Send(from, Encode(probe_answer{request.target, row->identity.incarnation, age}));
}

void membership_system::TakeProbeAnswer(const probe_answer& answer) {
  peer* row = peers_.Find(answer.target);
  if (row == nullptr || row->identity.incarnation != answer.incarnation) return;
  row->vouched = std::max(row->vouched, clock_.Now() - answer.age);
}

void membership_system::TakeMembers(const peer& from, const members_message& message) {
  const bool from_elsewhere = !IsOwnDataCentre(from);
  const std::size_t known_before = peers_.size();
  for (const daemon_identity& member : message.members) {
    if (member.id == router_.self() || IsRetired(member.incarnation)) continue;
    if (peers_.size() >= kMostPeers) return;
    peer& row = FindOrAdd(member.address);
    if (!row.identity.incarnation) {
      row.identity.data_centre = member.data_centre;
      row.identity.region = member.region;
    }
  }
  // Another relay must know whom to dial when this one is gone.
  if (!from_elsewhere || peers_.size() == known_before) return;
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
  if (now - row.views_differ_since < kViewsMayDiffer) return;
  if (now - row.members_sent < kMembersPause || now < next_members_) return;
  next_members_ = now + kMembersSpacing;
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
  // A sum, so that the order of rows does not matter.
  std::uint64_t sum =
      RendezvousScore(router_.self().value(), router_.identity().incarnation.value());
  for (const peer& row : peers_) {
    if (row.state != peer_state::kAlive || !IsOwnDataCentre(row)) continue;
    sum += RendezvousScore(row.id.value(), row.identity.incarnation.value());
  }
  return sum;
}

void membership_system::NoticeOwnPause(time_point now) {
  const duration gap = now - last_run_;
  last_run_ = now;
  if (gap < kOwnPause) return;
  // What the others sent meanwhile may still lie unread: their silence was our own.
  counters_.own_pauses.Add();
  for (peer& row : peers_) {
    if (row.state == peer_state::kAlive) row.heard += gap;
  }
}

void membership_system::Judge(peer& row, time_point now) {
  if (row.state == peer_state::kCandidate || row.state == peer_state::kDead) return;
  const bool linked = router_.IsLinked(row.id);
  const time_point last_sign = std::max(row.heard, row.vouched);
  const bool is_silent = now - row.heard > kProbeAfter;
  if ((is_silent || !linked) && IsOwnDataCentre(row)) ProbeIndirectly(row, now);
  if (row.state == peer_state::kAlive) {
    // A link that was silent before it went down says nothing new by going down.
    const bool was_heard = row.unlinked_at - row.heard < kProbeAfter;
    const bool reset =
        !linked && was_heard && now - row.unlinked_at > kResetGrace && last_sign <= row.unlinked_at;
    if (reset || now - last_sign > kSuspectAfter) SetState(row, peer_state::kSuspect);
  } else if (row.vouched > row.state_since) {
    SetState(row, peer_state::kAlive);
  } else if (now - row.state_since > kDeadAfter) {
    SetState(row, peer_state::kDead);
  }
  // A link that carries nothing is opened anew, also when others hear of the peer.
  if (linked && now - row.heard > kDeadAfter) router_.Disconnect(row.id);
}

void membership_system::ProbeIndirectly(peer& row, time_point now) {
  const bool alive = row.state == peer_state::kAlive;
  if (now - row.last_probe < (alive ? kProbePause : kSuspectProbePause)) return;
  row.last_probe = now;
  std::vector<peer_id> helpers;
  for (const peer& other : peers_) {
    const bool fit = other.id != row.id && other.state == peer_state::kAlive &&
                     IsOwnDataCentre(other) && router_.IsLinked(other.id);
    if (fit) helpers.push_back(other.id);
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
  if (hash != said_hash_) unsettled_until_ = now + kSettleTime;
  for (const peer& row : peers_) {
    if (row.views_differ_since != time_point()) unsettled_until_ = now + kSettleTime;
  }
  said_hash_ = hash;
  // Frames go out every second anyway and show that this daemon lives.
  next_heartbeat_ = now + (now < unsettled_until_ ? kFrameInterval : kQuietHeartbeat);
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

void membership_system::ForgetOld(time_point now) {
  std::vector<peer_id> old;
  for (const peer& row : peers_) {
    const bool idle = row.state == peer_state::kDead || row.state == peer_state::kCandidate;
    if (row.seed || row.listed || !idle) continue;
    if (now - row.state_since > kForgetAfter) old.push_back(row.id);
  }
  for (const peer_id id : old) peers_.Erase(id);
}

void membership_system::Run(time_point now) {
  const duration passed = now - last_run_;
  if (passed < kRunPause && !changed_) return;
  NoticeOwnPause(now);
  dial_tokens_ = std::min(kMostDialsAtOnce, dial_tokens_ + kMostDialsAtOnce * ToSeconds(passed));
  // Judging may close links, which changes rows but never adds or removes any.
  for (peer& row : peers_) Judge(row, now);
  ForgetOld(now);
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
