/// Simulates several daemons' config_systems with links between them and one fake store.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/hash.h"
#include "fake_clock.h"
#include "fake_object_store.h"
#include "fake_random_source.h"
#include "systems/config_system_builder.h"

namespace hawthorndrum {

/** A message in flight. */
struct sent_message {
  int from = 0;
  int to = 0;
  peer_message message;
};

/** What happens to a message or a store call. */
enum class injected_fault { kNone, kDrop, kDropAnswer, kRefuse, kDamage, kDuplicate };

class config_fleet;

/** One daemon's peer port. */
class fleet_peers : public peer_port {
 public:
  fleet_peers(config_fleet& fleet, int number) : fleet_(fleet), number_(number) {}
  void Send(peer_id to, peer_message message) override;
  const std::vector<live_peer>& Peers() const override { return links; }
  peer_id self() const override { return PeerIdOf(AddressOf(number_)); }
  static std::string AddressOf(int number) { return "10.0.0." + std::to_string(number) + ":8002"; }

  std::vector<live_peer> links;

 private:
  config_fleet& fleet_;
  int number_;
};

/** One simulated daemon. */
struct fleet_member {
  fleet_member(config_fleet& fleet, fake_object_store& store, const clock& time, int number,
               int data_centre, std::uint64_t seed)
      : data_centre(data_centre), peers(fleet, number), client(store, number), random(seed) {
    config = config_system_builder()
                 .Store(client)
                 .Peers(peers)
                 .Clock(time)
                 .Random(random)
                 .Metrics(metrics)
                 .Address(fleet_peers::AddressOf(number))
                 .DataCentre("dc" + std::to_string(data_centre))
                 .Build();
  }

  int data_centre;
  fleet_peers peers;
  fake_store_client client;
  fake_random_source random;
  metrics_registry metrics;
  std::unique_ptr<config_system> config;
  bool alive = true;
  bool store_reachable = true;
  /** Daemons of different groups can't reach each other: a network partition. */
  int group = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_sent = 0;
};

/**
 * Daemons are numbered by data centre. All daemons of a data centre are linked to each other, and
 * the first two of each to the first two of the others. A step takes 100 ms.
 */
class config_fleet {
 public:
  static constexpr duration kStep = milliseconds(100);

  config_fleet(fake_object_store& store, int data_centres, int daemons_each)
      : store_(store), daemons_each_(daemons_each) {
    for (int i = 0; i < data_centres * daemons_each; ++i) {
      members_.push_back(MakeMember(i, static_cast<std::uint64_t>(i) + 1));
    }
  }

  /** Selects the fault for each message; none when empty. */
  std::function<injected_fault(const sent_message&)> message_fault;
  /** Selects the fault for each store call when it is executed; none when empty. */
  std::function<injected_fault(const fake_object_store::waiting_call&)> store_fault;

  /** Whether watches miss all changes and answer only when they time out. */
  bool watches_miss = false;

  void Step() {
    clock_.Advance(kStep);
    UpdateLinks();
    for (auto& member : members_) {
      if (member->alive) member->config->Run(clock_.Now());
    }
    // Several hops fit into a step, as between hosts with a latency of a millisecond.
    for (int hop = 0; hop < kHopsPerStep; ++hop) {
      DeliverMessages();
      AnswerStoreCalls();
    }
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (members_[i]->alive) members_[i]->config->Run(clock_.Now());
    }
  }

  void Steps(int count) {
    for (int i = 0; i < count; ++i) Step();
  }

  /**
   * Steps until all live daemons have the generation; returns the steps, or -1 if `max_steps` were
   * not enough.
   */
  int StepsUntil(generation number, int max_steps) {
    for (int i = 0; i <= max_steps; ++i) {
      if (AllHave(number)) return i;
      Step();
    }
    return -1;
  }

  bool AllHave(generation number) const {
    for (const auto& member : members_) {
      if (member->alive && member->config->current() != number) return false;
    }
    return true;
  }

  /** Restarts the daemon without any state. */
  void Restart(int number) {
    store_.DropClient(number, false);
    const bool reachable = members_[static_cast<std::size_t>(number)]->store_reachable;
    const int group = members_[static_cast<std::size_t>(number)]->group;
    members_[static_cast<std::size_t>(number)] = MakeMember(number, ++restarts_ * 1000);
    members_[static_cast<std::size_t>(number)]->store_reachable = reachable;
    members_[static_cast<std::size_t>(number)]->group = group;
  }

  void Kill(int number) {
    store_.DropClient(number, false);
    member(number).alive = false;
  }

  void SetStoreReachable(bool reachable) {
    for (auto& member : members_) member->store_reachable = reachable;
  }

  void Send(sent_message message) { messages_.push_back(std::move(message)); }

  fleet_member& member(int number) { return *members_[static_cast<std::size_t>(number)]; }
  config_system& config(int number) { return *member(number).config; }
  int size() const { return static_cast<int>(members_.size()); }
  fake_clock& time() { return clock_; }
  std::deque<sent_message>& messages() { return messages_; }

 private:
  static constexpr int kHopsPerStep = 8;
  static constexpr int kRelays = 2;

  std::unique_ptr<fleet_member> MakeMember(int number, std::uint64_t seed) {
    return std::make_unique<fleet_member>(*this, store_, clock_, number, number / daemons_each_,
                                          seed);
  }

  bool IsLinked(int a, int b) const {
    const fleet_member& one = *members_[static_cast<std::size_t>(a)];
    const fleet_member& other = *members_[static_cast<std::size_t>(b)];
    if (!one.alive || !other.alive || one.group != other.group) return false;
    if (one.data_centre == other.data_centre) return true;
    return a % daemons_each_ < kRelays && b % daemons_each_ < kRelays;
  }

  void UpdateLinks() {
    for (int i = 0; i < size(); ++i) {
      std::vector<live_peer> peers;
      for (int j = 0; j < size(); ++j) {
        if (i == j || !member(j).alive) continue;
        const bool same = member(i).data_centre == member(j).data_centre;
        peers.push_back({PeerIdOf(fleet_peers::AddressOf(j)),
                         incarnation_id(static_cast<std::uint64_t>(j) + 1), same, IsLinked(i, j)});
      }
      member(i).peers.links = std::move(peers);
    }
  }

  void DeliverMessages() {
    std::deque<sent_message> now;
    now.swap(messages_);
    for (sent_message& message : now) {
      if (!IsLinked(message.from, message.to)) continue;
      const injected_fault fault = message_fault ? message_fault(message) : injected_fault::kNone;
      if (fault == injected_fault::kDrop) continue;
      if (fault == injected_fault::kDamage && !message.message.body.empty()) {
        message.message.body[message.message.body.size() / 2] ^= 0x55;
      }
      const peer_id from = PeerIdOf(fleet_peers::AddressOf(message.from));
      config_system& receiver = *member(message.to).config;
      receiver.OnPeerMessage(from, message.message);
      if (fault == injected_fault::kDuplicate) receiver.OnPeerMessage(from, message.message);
    }
  }

  void AnswerStoreCalls() {
    for (std::size_t i = 0; i < store_.waiting().size();) {
      const fake_object_store::waiting_call& call = store_.waiting()[i];
      if (call.client >= size()) {
        ++i;
        continue;
      }
      if (!member(call.client).store_reachable) {
        store_.FailAt(i, store_outcome::kUnknown);
        continue;
      }
      if (!IsDue(call)) {
        ++i;
        continue;
      }
      watch_since_.erase(call.id);
      const injected_fault fault = store_fault ? store_fault(call) : injected_fault::kNone;
      Answer(i, fault);
    }
  }

  bool IsDue(const fake_object_store::waiting_call& call) {
    if (call.call.operation != store_operation::kWatch) return true;
    const auto [since, added] = watch_since_.try_emplace(call.id, clock_.Now());
    const bool expired = clock_.Now() - since->second >= call.call.timeout;
    return expired || (!watches_miss && store_.HasChanges(call.call));
  }

  void Answer(std::size_t index, injected_fault fault) {
    switch (fault) {
      case injected_fault::kDrop:
        return store_.FailAt(index, store_outcome::kUnknown);
      case injected_fault::kDropAnswer:
        return store_.RunAtLosingAnswer(index);
      case injected_fault::kRefuse:
        return store_.FailAt(index, store_outcome::kRefused);
      case injected_fault::kDamage:
        return store_.RunAtDamaging(index);
      default:
        return store_.RunAt(index);
    }
  }

  fake_object_store& store_;
  int daemons_each_;
  fake_clock clock_;
  std::vector<std::unique_ptr<fleet_member>> members_;
  std::deque<sent_message> messages_;
  std::map<store_call_id, time_point> watch_since_;
  std::uint64_t restarts_ = 0;
};

inline void fleet_peers::Send(peer_id to, peer_message message) {
  for (int i = 0; i < fleet_.size(); ++i) {
    if (PeerIdOf(AddressOf(i)) != to) continue;
    fleet_member& own = fleet_.member(number_);
    own.bytes_sent += message.body.size();
    own.messages_sent += 1;
    fleet_.Send({number_, i, std::move(message)});
    return;
  }
}

}  // namespace hawthorndrum
