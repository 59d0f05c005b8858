/// Routes messages between daemons: links, peer identities, send queues and topics.
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

/** Each link carries at least one frame per interval, so that silence indicates a fault. */
constexpr duration kFrameInterval = seconds(1);

/**
 * Settings of the router. `key` is the secret that all daemons share.
 */
struct peer_router_settings {
  daemon_identity self;
  std::string key;
  /** Unsent bytes per link above which messages are dropped; deferrable ones at a quarter. */
  std::size_t max_backlog = 4 * 1024 * 1024;
};

/**
 * Implements the peer port over a transport. Deferrable messages (heartbeats, cache hints, status)
 * wait for the link's next frame; all others are sent at once, together with the queued ones. The
 * dialling side of a link sends a frame at the end of each interval and the accepting side answers
 * it, so that TCP acknowledgements are piggybacked on data.
 *
 * Invariant: by_peer_ maps a peer to its one link in use, which is open and has received a hello.
 */
class peer_router : public peer_port, public peer_transport_listener, public system {
 public:
  peer_router(peer_router_settings settings, peer_transport& transport, const clock& time,
              random_source& random, metrics_registry& metrics);
  ~peer_router() override;

  /** Passes all messages of the topic to the listener, which must outlive the router. */
  void Register(peer_topic topic, peer_listener& listener) { listeners_[topic] = &listener; }
  void SetObserver(peer_link_observer& observer) { observer_ = &observer; }
  /** Replaces what Peers() returns. Called by membership; the router sets `linked`. */
  void SetPeers(std::vector<live_peer> peers);

  /** Opens a link unless one to the address is already being opened or in use. */
  void Connect(std::string_view address);
  /** Closes the peer's link, if any, and notifies the observer. */
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

  /** Sends the frames that are due and closes links whose handshake timed out. */
  void Run(time_point now) override;

  /** Returns an estimate of the bytes held by links, queues and tables. */
  std::size_t MemoryBytes() const;

 private:
  struct link;
  struct counters;

  link* Find(peer_link_id id);
  void HandleMessages(peer_link_id id, std::vector<peer_message> messages);
  /** Returns whether the link is still open. */
  bool HandleHello(peer_link_id id, const peer_message& message);
  bool AcceptPeer(link& fresh, daemon_identity peer);
  /** Of two links to one daemon, both sides keep the one dialled by the smaller id. */
  bool KeepsExistingLink(const link& existing, const link& fresh) const;
  void Dispatch(peer_id from, const peer_message& message);
  void Enqueue(link& to, peer_message message);
  void Flush(link& to);
  void SendFrame(link& to, std::vector<std::uint8_t> frame);
  void CountReceived(link& from, std::size_t bytes);
  void CountFault(session_fault fault);
  void CloseLink(peer_link_id id);
  void RemoveLink(peer_link_id id);
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
