/// Life cycle of links, from challenge to close, and their send queues.
#include "systems/peer_router.h"

#include <algorithm>

#include "systems/peer_hello.h"
#include "systems/wire_bytes.h"

namespace hawthorndrum {

namespace {

/** Time within which a link must be authenticated and its hello received. */
constexpr duration kHandshakeTimeout = seconds(3);
/** Longest time for which the accepting side waits for a frame to answer before it sends one. */
constexpr duration kMaxAnswerDelay = kFrameInterval + milliseconds(250);
/** Maximum age of the last frame for a link to count as working. */
constexpr duration kWorkingLinkAge = milliseconds(2500);
constexpr std::size_t kMaxLinks = 1024;
/** Minimum interval between runs; ticks that come sooner are skipped. */
constexpr duration kMinRunInterval = milliseconds(20);

/** Returns whether the topic's messages may wait for the link's next frame. */
bool IsDeferrable(peer_topic topic) {
  switch (topic) {
    case peer_topic::kHeartbeat:
    case peer_topic::kCacheHint:
    case peer_topic::kStatus:
      return true;
    default:
      return false;
  }
}

}  // namespace

struct peer_router::link {
  link(peer_link_id link_id, peer_session fresh) : id(link_id), session(std::move(fresh)) {}

  peer_link_id id;
  peer_session session;
  /** Set once the hello has been received. */
  daemon_identity peer;
  bool hello_received = false;
  /** Set only for links that this daemon opened. */
  std::string dialled_address;
  time_point opened;
  time_point last_received;
  time_point next_frame;
  std::vector<peer_message> queued;
  std::size_t queued_bytes = 0;
  /** Time since which received (in) or sent (out) data awaits an acknowledgement. */
  time_point unacknowledged_in;
  time_point unacknowledged_out;
};

struct peer_router::counters {
  explicit counters(metrics_registry& metrics)
      : bytes_in(Named(metrics, "hawthorndrum_peer_bytes_total", "direction", "in")),
        bytes_out(Named(metrics, "hawthorndrum_peer_bytes_total", "direction", "out")),
        frames_in(Named(metrics, "hawthorndrum_peer_frames_total", "direction", "in")),
        frames_out(Named(metrics, "hawthorndrum_peer_frames_total", "direction", "out")),
        dropped_unlinked(Dropped(metrics, "not_linked")),
        dropped_slow(Dropped(metrics, "slow_link")),
        unknown_topic(Dropped(metrics, "unknown_topic")),
        malformed(Closed(metrics, "rubbish")),
        version(Closed(metrics, "version")),
        proof(Closed(metrics, "proof")),
        too_large(Closed(metrics, "too_large")),
        refused(Closed(metrics, "refused")),
        duplicate(Closed(metrics, "duplicate")),
        timeout(Closed(metrics, "handshake_timeout")),
        links(metrics.Counter("hawthorndrum_peer_links")) {}

  static counter& Named(metrics_registry& metrics, std::string_view name, std::string_view key,
                        std::string_view value) {
    return metrics.Counter(name, MetricLabel(key, value));
  }
  static counter& Dropped(metrics_registry& metrics, std::string_view reason) {
    return Named(metrics, "hawthorndrum_peer_messages_dropped_total", "reason", reason);
  }
  static counter& Closed(metrics_registry& metrics, std::string_view reason) {
    return Named(metrics, "hawthorndrum_peer_links_closed_total", "reason", reason);
  }

  counter& bytes_in;
  counter& bytes_out;
  counter& frames_in;
  counter& frames_out;
  counter& dropped_unlinked;
  counter& dropped_slow;
  counter& unknown_topic;
  counter& malformed;
  counter& version;
  counter& proof;
  counter& too_large;
  counter& refused;
  counter& duplicate;
  counter& timeout;
  counter& links;
};

peer_router::peer_router(peer_router_settings settings, peer_transport& transport,
                         const clock& time, random_source& random, metrics_registry& metrics)
    : settings_(std::move(settings)),
      transport_(transport),
      clock_(time),
      random_(random),
      counters_(std::make_unique<counters>(metrics)) {}

peer_router::~peer_router() = default;

peer_router::link* peer_router::Find(peer_link_id id) {
  const auto found = links_.find(id);
  return found == links_.end() ? nullptr : found->second.get();
}

void peer_router::SetPeers(std::vector<live_peer> peers) {
  peers_ = std::move(peers);
  std::sort(peers_.begin(), peers_.end(),
            [](const live_peer& a, const live_peer& b) { return a.id < b.id; });
  MarkLinked();
}

void peer_router::MarkLinked() {
  for (live_peer& peer : peers_) peer.linked = IsLinked(peer.id);
  counters_->links.Set(by_peer_.size());
}

void peer_router::Connect(std::string_view address) {
  for (const auto& [id, existing] : links_) {
    if (existing->dialled_address == address) return;
    if (existing->hello_received && existing->peer.address == address) return;
  }
  if (links_.size() >= kMaxLinks) return;
  const peer_link_id id = transport_.Open(address);
  auto fresh = std::make_unique<link>(id, peer_session(settings_.key, true, random_));
  fresh->dialled_address = address;
  fresh->opened = clock_.Now();
  links_[id] = std::move(fresh);
}

void peer_router::Disconnect(peer_id peer) {
  const auto found = by_peer_.find(peer);
  if (found != by_peer_.end()) CloseLink(found->second);
}

void peer_router::OnLinkUp(peer_link_id id, bool dialled) {
  if (!dialled) {
    if (links_.size() >= kMaxLinks) {
      transport_.Close(id);
      return;
    }
    auto fresh = std::make_unique<link>(id, peer_session(settings_.key, false, random_));
    fresh->opened = clock_.Now();
    links_[id] = std::move(fresh);
  }
  link* up = Find(id);
  if (up == nullptr) return;
  SendFrame(*up, up->session.Challenge());
}

void peer_router::OnLinkFrame(peer_link_id id, boost::span<const std::uint8_t> frame) {
  link* from = Find(id);
  if (from == nullptr) return;
  CountReceived(*from, frame.size());
  const bool was_open = from->session.MaySend();
  std::vector<peer_message> messages;
  if (!from->session.Accept(frame, messages)) {
    CountFault(from->session.fault());
    CloseLink(id);
    return;
  }
  from->last_received = clock_.Now();
  if (from->session.MustSendProof()) {
    SendFrame(*from, from->session.Seal({}));
    return;
  }
  if (!was_open && from->session.MaySend()) {
    SendFrame(*from, from->session.Seal({EncodeHello(settings_.self)}));
  }
  HandleMessages(id, std::move(messages));
}

void peer_router::HandleMessages(peer_link_id id, std::vector<peer_message> messages) {
  for (const peer_message& message : messages) {
    if (message.topic != peer_topic::kHello) continue;
    if (!HandleHello(id, message)) return;
  }
  link* from = Find(id);
  if (from == nullptr || !from->hello_received) return;
  const peer_id peer = from->peer.id;
  if (observer_ != nullptr) observer_->OnFrameReceived(peer);
  for (const peer_message& message : messages) {
    if (message.topic != peer_topic::kHello) Dispatch(peer, message);
  }
  // A listener may have closed the link meanwhile.
  from = Find(id);
  if (from == nullptr || from->session.dialled()) return;
  if (clock_.Now() + kFrameInterval / 2 >= from->next_frame) Flush(*from);
}

bool peer_router::HandleHello(peer_link_id id, const peer_message& message) {
  link* from = Find(id);
  std::optional<daemon_identity> peer = DecodeHello(message);
  if (!peer) {
    counters_->malformed.Add();
    CloseLink(id);
    return false;
  }
  if (from->hello_received) return true;
  if (!AcceptPeer(*from, std::move(*peer))) {
    CloseLink(id);
    return false;
  }
  return true;
}

bool peer_router::AcceptPeer(link& fresh, daemon_identity peer) {
  const bool is_self = peer.id == settings_.self.id;
  const bool is_wrong_address =
      !fresh.dialled_address.empty() && fresh.dialled_address != peer.address;
  if (is_self || is_wrong_address || (observer_ != nullptr && !observer_->OnPeerHello(peer))) {
    counters_->refused.Add();
    return false;
  }
  fresh.peer = std::move(peer);
  const auto existing = by_peer_.find(fresh.peer.id);
  if (existing != by_peer_.end()) {
    link& other = *Find(existing->second);
    counters_->duplicate.Add();
    if (KeepsExistingLink(other, fresh)) return false;
    const peer_link_id replaced = other.id;
    by_peer_.erase(existing);
    transport_.Close(replaced);
    links_.erase(replaced);
  }
  fresh.hello_received = true;
  fresh.next_frame = clock_.Now() + kFrameInterval;
  by_peer_[fresh.peer.id] = fresh.id;
  MarkLinked();
  if (observer_ != nullptr) observer_->OnPeerLinked(fresh.peer);
  return true;
}

bool peer_router::KeepsExistingLink(const link& existing, const link& fresh) const {
  if (existing.peer.incarnation != fresh.peer.incarnation) return false;
  if (clock_.Now() - existing.last_received > kWorkingLinkAge) return false;
  const bool self_is_smaller = settings_.self.id < existing.peer.id;
  const bool existing_is_preferred = existing.session.dialled() == self_is_smaller;
  const bool fresh_is_preferred = fresh.session.dialled() == self_is_smaller;
  return existing_is_preferred && !fresh_is_preferred;
}

void peer_router::Dispatch(peer_id from, const peer_message& message) {
  const auto found = listeners_.find(message.topic);
  if (found == listeners_.end()) {
    counters_->unknown_topic.Add();
    return;
  }
  found->second->OnPeerMessage(from, message);
}

void peer_router::Send(peer_id to, peer_message message) {
  const auto found = by_peer_.find(to);
  if (found == by_peer_.end()) {
    counters_->dropped_unlinked.Add();
    return;
  }
  link& target = *Find(found->second);
  const bool is_deferrable = IsDeferrable(message.topic);
  const std::size_t limit = settings_.max_backlog / (is_deferrable ? 4 : 1);
  const std::size_t held = transport_.Backlog(target.id) + target.queued_bytes;
  const bool too_large = message.body.size() + 64 > kMaxFrameBytes;
  if (too_large || held + message.body.size() > limit) {
    counters_->dropped_slow.Add();
    return;
  }
  Enqueue(target, std::move(message));
  if (!is_deferrable) Flush(target);
}

void peer_router::Enqueue(link& to, peer_message message) {
  if (to.queued_bytes + message.body.size() + 64 > kMaxFrameBytes) Flush(to);
  to.queued_bytes += message.body.size();
  to.queued.push_back(std::move(message));
}

void peer_router::Flush(link& to) {
  if (!to.hello_received) return;
  const std::vector<peer_message> messages = std::move(to.queued);
  to.queued.clear();
  to.queued_bytes = 0;
  to.next_frame = clock_.Now() + kFrameInterval;
  SendFrame(to, to.session.Seal(messages));
}

void peer_router::SendFrame(link& to, std::vector<std::uint8_t> frame) {
  const time_point now = clock_.Now();
  counters_->frames_out.Add();
  counters_->bytes_out.Add(WireBytesOfFrame(frame.size(), to.session.dialled()));
  if (to.unacknowledged_in != time_point() && now - to.unacknowledged_in > kDelayedAck) {
    counters_->bytes_out.Add(kTcpIpHeaderBytes);
  }
  to.unacknowledged_in = time_point();
  to.unacknowledged_out = now;
  transport_.Send(to.id, std::move(frame));
}

void peer_router::CountReceived(link& from, std::size_t bytes) {
  const time_point now = clock_.Now();
  counters_->frames_in.Add();
  counters_->bytes_in.Add(WireBytesOfFrame(bytes, !from.session.dialled()));
  if (from.unacknowledged_out != time_point() && now - from.unacknowledged_out > kDelayedAck) {
    counters_->bytes_in.Add(kTcpIpHeaderBytes);
  }
  from.unacknowledged_out = time_point();
  from.unacknowledged_in = now;
}

void peer_router::CountFault(session_fault fault) {
  switch (fault) {
    case session_fault::kVersion:
      return counters_->version.Add();
    case session_fault::kProof:
      return counters_->proof.Add();
    case session_fault::kTooLarge:
      return counters_->too_large.Add();
    case session_fault::kMalformed:
    case session_fault::kNone:
      return counters_->malformed.Add();
  }
}

void peer_router::OnLinkDown(peer_link_id id) { RemoveLink(id); }

void peer_router::CloseLink(peer_link_id id) {
  transport_.Close(id);
  RemoveLink(id);
}

void peer_router::RemoveLink(peer_link_id id) {
  const auto found = links_.find(id);
  if (found == links_.end()) return;
  const std::unique_ptr<link> closed = std::move(found->second);
  links_.erase(found);
  const auto in_use = by_peer_.find(closed->peer.id);
  const bool was_in_use =
      closed->hello_received && in_use != by_peer_.end() && in_use->second == id;
  if (was_in_use) {
    by_peer_.erase(in_use);
    MarkLinked();
  }
  if (observer_ == nullptr) return;
  if (was_in_use) observer_->OnPeerUnlinked(closed->peer.id);
  if (!closed->hello_received && !closed->dialled_address.empty()) {
    observer_->OnDialFailed(closed->dialled_address);
  }
}

void peer_router::Run(time_point now) {
  if (now - last_run_ < kMinRunInterval) return;
  last_run_ = now;
  std::vector<peer_link_id> timed_out;
  for (auto& [id, existing] : links_) {
    if (!existing->hello_received) {
      if (now - existing->opened > kHandshakeTimeout) timed_out.push_back(id);
      continue;
    }
    const duration answer_delay =
        existing->session.dialled() ? duration(0) : kMaxAnswerDelay - kFrameInterval;
    if (now >= existing->next_frame + answer_delay) Flush(*existing);
  }
  for (const peer_link_id id : timed_out) {
    counters_->timeout.Add();
    CloseLink(id);
  }
}

std::size_t peer_router::MemoryBytes() const {
  std::size_t total = peers_.capacity() * sizeof(live_peer);
  for (const auto& [id, existing] : links_) {
    total += sizeof(link) + existing->queued_bytes + transport_.Backlog(id);
  }
  return total;
}

}  // namespace hawthorndrum
