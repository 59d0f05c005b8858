/// Carries messages between daemons: links, who is at their other ends, queues and topics.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/metrics_registry.h"
#include "ports/clock.h"
#include "ports/peer_port.h"
#include "ports/peer_transport.h"
#include "ports/random_source.h"
#include "systems/peer_link_observer.h"
#include "systems/peer_session.h"
#include "systems/system.h"

namespace hawthorndrum {

/** Each link carries at least one frame in this time, so that silence means a fault. */
constexpr duration kFrameInterval = seconds(1);

/**
 * What a router needs to know. `key` is the secret that all daemons share.
 */
struct peer_router_settings {
  daemon_identity self;
  std::string key;
  /** Messages to a link with more unsent bytes are dropped; periodic ones at a quarter of it. */
  std::size_t longest_backlog = 4 * 1024 * 1024;
};

/**
 * Implements the peer port over a transport. Periodic messages (heartbeats, load, heads) wait for
 * the link's next frame; all others leave at once and take the waiting ones along. The dialling
 * side of a link sends its frame when the interval is over, the other side as an answer to it, so
 * that TCP acknowledgements ride on data.
 *
 * Invariant: by_peer_ maps a peer to its one link in use, which is open and has said hello.
 */
class peer_router : public peer_port, public peer_transport_listener, public system {
 public:
  peer_router(peer_router_settings settings, peer_transport& transport, const clock& time,
              random_source& random, metrics_registry& metrics);
  ~peer_router() override;

  /** Gives all messages of the topic to the listener, which must outlive the router. */
  void Register(peer_topic topic, peer_listener& listener) { listeners_[topic] = &listener; }
  void SetObserver(peer_link_observer& observer) { observer_ = &observer; }
  /** Replaces what Peers() returns; membership calls it. `linked` is filled in here. */
  void SetPeers(std::vector<live_peer> peers);

  /** Opens a link unless one to that address is being opened or in use. */
  void Connect(std::string_view address);
  /** Closes the peer's link, if any; the observer is told. */
  void Disconnect(peer_id peer);
  bool IsLinked(peer_id peer) const { return by_peer_.count(peer) != 0; }
  std::size_t link_count() const { return by_peer_.size(); }

  void Send(peer_id to, peer_message message) override;
  const std::vector<live_peer>& Peers() const override { return peers_; }
  peer_id self() const override { return settings_.self.id; }
  const daemon_identity& identity() const { return settings_.self; }

  void OnLinkUp(peer_link_id id, bool dialled) override;
  void OnLinkFrame(peer_link_id id, boost::span<const std::uint8_t> frame) override;
  void OnLinkDown(peer_link_id id) override;

  /** Sends the frames that are due and closes links that were not proven in time. */
  void Run(time_point now) override;

  /** Bytes that links, queues and tables hold, as far as they can be counted. */
  std::size_t MemoryBytes() const;

 private:
  struct link;
  struct counters;

  link* Find(peer_link_id id);
  void TakeMessages(peer_link_id id, std::vector<peer_message> messages);
  /** Returns whether the link is still there. */
  bool TakeHello(peer_link_id id, const peer_message& message);
  bool Adopt(link& fresh, daemon_identity peer);
  /** Of two links to one daemon, both sides keep the one that the smaller id dialled. */
  bool KeepsPresentLink(const link& present, const link& fresh) const;
  void Dispatch(peer_id from, const peer_message& message);
  void Enqueue(link& to, peer_message message);
  void Flush(link& to);
  void SendFrame(link& to, std::vector<std::uint8_t> frame);
  void CountReceived(link& from, std::size_t bytes);
  void CountFault(session_fault fault);
  void CloseLink(peer_link_id id);
  void Forget(peer_link_id id);
  void MarkLinked();

  peer_router_settings settings_;
  peer_transport& transport_;
  const clock& clock_;
  random_source& random_;
  std::unique_ptr<counters> counters_;
  peer_link_observer* observer_ = nullptr;
  std::map<peer_topic, peer_listener*> listeners_;
  std::unordered_map<peer_link_id, std::unique_ptr<link>> links_;
  std::unordered_map<peer_id, peer_link_id> by_peer_;
  std::vector<live_peer> peers_;
  time_point last_run_;
};

}  // namespace hawthorndrum
