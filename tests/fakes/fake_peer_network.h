/// In-process network between several daemons, with faults that the test sets.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_clock.h"
#include "ports/peer_transport.h"

namespace hawthorndrum {

class fake_peer_transport;

/**
 * Delivers frames between transports in order. A blocked direction holds frames back, as TCP does,
 * until it is unblocked or the link is reset. Events are delivered only in Step.
 */
class fake_peer_network {
 public:
  explicit fake_peer_network(fake_clock& time) : clock_(time) {}

  /** Blocks or unblocks frames and link set-up from one address to another. */
  void Block(const std::string& from, const std::string& to, bool blocked = true) {
    if (blocked) {
      blocked_.insert({from, to});
    } else {
      blocked_.erase({from, to});
    }
  }
  void BlockBoth(const std::string& a, const std::string& b, bool blocked = true) {
    Block(a, b, blocked);
    Block(b, a, blocked);
  }
  /** Freezes or resumes a daemon. Events for a frozen daemon are held until it resumes. */
  void Freeze(const std::string& address, bool frozen = true) {
    if (frozen) {
      frozen_.insert(address);
    } else {
      frozen_.erase(address);
    }
  }
  void set_latency(duration latency) { latency_ = latency; }
  void set_latency_to(const std::string& address, duration latency) {
    latency_to_[address] = latency;
  }

  void Add(const std::string& address, fake_peer_transport& transport) {
    nodes_[address] = &transport;
  }
  /** Removes a daemon: its links are reset, and nothing listens at its address. */
  void Remove(const std::string& address);

  /** Delivers all events that are due, including those that deliveries cause at once. */
  void Step();

  std::uint64_t frames() const { return frames_; }

 private:
  friend class fake_peer_transport;

  enum class event_kind { kUp, kFrame, kDown };
  struct event {
    event_kind kind = event_kind::kFrame;
    time_point due;
    std::vector<std::uint8_t> frame;
  };
  struct end {
    std::string address;
    peer_link_id link;
    bool dialled = false;
    bool open = true;
    /** Whether OnLinkUp has been called for this end. */
    bool up = false;
    std::deque<event> events;
  };
  struct connection {
    std::array<end, 2> ends;
  };

  bool IsHeld(const std::string& from, const std::string& to) const {
    return blocked_.count({from, to}) != 0 || frozen_.count(to) != 0;
  }
  bool DeliverOne(connection& present, int side);
  void Queue(end& to, event_kind kind, std::vector<std::uint8_t> frame = {}) {
    const auto own = latency_to_.find(to.address);
    const duration latency = own == latency_to_.end() ? latency_ : own->second;
    to.events.push_back({kind, clock_.Now() + latency, std::move(frame)});
  }

  fake_clock& clock_;
  duration latency_ = milliseconds(1);
  std::map<std::string, duration> latency_to_;
  std::map<std::string, fake_peer_transport*> nodes_;
  std::set<std::pair<std::string, std::string>> blocked_;
  std::set<std::string> frozen_;
  /** Keyed by KeyOf, which is the same for both ends. */
  std::map<std::uint64_t, connection> connections_;
  static std::uint64_t KeyOf(peer_link_id link) { return (link.value() - 1) / 2; }
  std::uint64_t last_link_ = 0;
  std::uint64_t frames_ = 0;
};

/**
 * Transport of one daemon on the network.
 */
class fake_peer_transport : public peer_transport {
 public:
  fake_peer_transport(fake_peer_network& network, std::string address)
      : network_(network), address_(std::move(address)) {}

  void Start(peer_transport_listener& listener) {
    listener_ = &listener;
    network_.Add(address_, *this);
  }

  peer_link_id Open(std::string_view address) override {
    fake_peer_network::connection fresh;
    fresh.ends[0].address = address_;
    fresh.ends[0].link = peer_link_id(++network_.last_link_);
    fresh.ends[0].dialled = true;
    fresh.ends[1].address = std::string(address);
    fresh.ends[1].link = peer_link_id(++network_.last_link_);
    fake_peer_network::connection& added =
        network_.connections_[fake_peer_network::KeyOf(fresh.ends[0].link)];
    added = std::move(fresh);
    const bool listening = network_.nodes_.count(added.ends[1].address) != 0;
    if (listening) {
      network_.Queue(added.ends[1], fake_peer_network::event_kind::kUp);
    } else {
      added.ends[1].open = false;
      network_.Queue(added.ends[0], fake_peer_network::event_kind::kDown);
    }
    return added.ends[0].link;
  }

  void Send(peer_link_id link, std::vector<std::uint8_t> frame) override {
    ForEnd(link, [&](fake_peer_network::connection& found, int side) {
      sent_bytes_ += frame.size();
      network_.Queue(found.ends[1 - side], fake_peer_network::event_kind::kFrame, std::move(frame));
    });
  }

  void Close(peer_link_id link) override {
    ForEnd(link, [&](fake_peer_network::connection& found, int side) {
      found.ends[side].open = false;
      found.ends[side].events.clear();
      if (side == 0 && !found.ends[1].up) {
        // Closed before it was set up: the other side is never notified.
        found.ends[1].open = false;
        return;
      }
      network_.Queue(found.ends[1 - side], fake_peer_network::event_kind::kDown);
    });
  }

  std::size_t Backlog(peer_link_id link) const override {
    std::size_t bytes = 0;
    const_cast<fake_peer_transport*>(this)->ForEnd(
        link, [&](fake_peer_network::connection& found, int side) {
          for (const auto& waiting : found.ends[1 - side].events) bytes += waiting.frame.size();
        });
    return bytes;
  }

  std::uint64_t sent_bytes() const { return sent_bytes_; }
  peer_transport_listener* listener() const { return listener_; }

 private:
  template <typename Action>
  void ForEnd(peer_link_id link, Action action) {
    const auto found = network_.connections_.find(fake_peer_network::KeyOf(link));
    if (found == network_.connections_.end()) return;
    const int side = found->second.ends[0].link == link ? 0 : 1;
    if (found->second.ends[side].open) action(found->second, side);
  }

  fake_peer_network& network_;
  std::string address_;
  peer_transport_listener* listener_ = nullptr;
  std::uint64_t sent_bytes_ = 0;
};

inline void fake_peer_network::Remove(const std::string& address) {
  nodes_.erase(address);
  for (auto& [key, present] : connections_) {
    for (int side = 0; side < 2; ++side) {
      if (present.ends[side].address != address || !present.ends[side].open) continue;
      present.ends[side].open = false;
      present.ends[side].events.clear();
      Queue(present.ends[1 - side], event_kind::kDown);
    }
  }
}

inline bool fake_peer_network::DeliverOne(connection& present, int side) {
  end& to = present.ends[side];
  end& from = present.ends[1 - side];
  if (!to.open || to.events.empty() || to.events.front().due > clock_.Now()) return false;
  if (IsHeld(from.address, to.address)) return false;
  const auto node = nodes_.find(to.address);
  if (node == nodes_.end()) return false;
  const event taken = std::move(to.events.front());
  to.events.pop_front();
  peer_transport_listener& listener = *node->second->listener();
  const peer_link_id link = to.link;
  switch (taken.kind) {
    case event_kind::kUp:
      to.up = true;
      if (!to.dialled) Queue(from, event_kind::kUp);
      listener.OnLinkUp(link, to.dialled);
      return true;
    case event_kind::kFrame:
      ++frames_;
      listener.OnLinkFrame(link, taken.frame);
      return true;
    case event_kind::kDown:
      to.open = false;
      listener.OnLinkDown(link);
      return true;
  }
  return false;
}

inline void fake_peer_network::Step() {
  bool progress = true;
  while (progress) {
    progress = false;
    for (auto& [key, present] : connections_) {
      for (int side = 0; side < 2; ++side) {
        while (DeliverOne(present, side)) progress = true;
      }
    }
  }
  for (auto it = connections_.begin(); it != connections_.end();) {
    const bool both_closed = !it->second.ends[0].open && !it->second.ends[1].open;
    it = both_closed ? connections_.erase(it) : std::next(it);
  }
}

}  // namespace hawthorndrum
