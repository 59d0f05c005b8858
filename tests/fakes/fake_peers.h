/// Peer ports of several daemons, connected in fake time.
#pragma once

#include <memory>
#include <vector>

#include "event_queue.h"
#include "ports/peer_port.h"

namespace hawthorndrum {

class fake_peer_port;

/** Delivers messages between ports in order, kDelay after they were sent. */
class fake_peers {
 public:
  static constexpr duration kDelay = milliseconds(2);

  explicit fake_peers(event_queue& events) : events_(events) {}

  fake_peer_port& Add();
  void Listen(std::size_t index, std::function<void(peer_id, const peer_message&)> listener) {
    listeners_.at(index) = std::move(listener);
  }
  void Deliver(peer_id from, peer_id to, const peer_message& message) {
    messages += 1;
    events_.After(kDelay, [this, from, to, message] {
      const auto& listener = listeners_.at(to.value() - 1);
      if (listener) listener(from, message);
    });
  }

  std::uint64_t messages = 0;

 private:
  event_queue& events_;
  std::vector<std::unique_ptr<fake_peer_port>> ports_;
  std::vector<std::function<void(peer_id, const peer_message&)>> listeners_;
};

class fake_peer_port : public peer_port {
 public:
  fake_peer_port(fake_peers& net, peer_id self) : net_(net), self_(self) {}

  void Send(peer_id to, peer_message message) override { net_.Deliver(self_, to, message); }
  const std::vector<live_peer>& Peers() const override { return peers; }
  peer_id self() const override { return self_; }

  std::vector<live_peer> peers;

 private:
  fake_peers& net_;
  peer_id self_;
};

inline fake_peer_port& fake_peers::Add() {
  const peer_id id(ports_.size() + 1);
  ports_.push_back(std::make_unique<fake_peer_port>(*this, id));
  listeners_.emplace_back();
  for (auto& port : ports_) {
    if (port->self() == id) continue;
    port->peers.push_back({id, incarnation_id(id.value()), true, true});
    ports_.back()->peers.push_back(
        {port->self(), incarnation_id(port->self().value()), true, true});
  }
  return *ports_.back();
}

}  // namespace hawthorndrum
