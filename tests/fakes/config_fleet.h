/// Several daemons' configuration systems with links between them and one fake store.
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

/** A message on its way. */
struct sent_message {
  int from = 0;
  int to = 0;
  peer_message message;
};

/** What the test lets happen to a message or a store call. */
enum class fate { kPass, kLose, kLoseAnswer, kRefuse, kDamage, kTwice };

class config_fleet;

/** One daemon's links. */
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

/** One daemon. */
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
  /** Daemons of different groups are cut off from each other. */
  int group = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_sent = 0;
};

/**
 * Daemons are numbered data centre by data centre. Within one all are linked; the first two of each
 * are linked with the first two of the others. Each step is 100 ms long.
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

  /** Decides over each message; passes all when empty. */
  std::function<fate(const sent_message&)> message_fate;
  /** Decides over each store call when it is carried out; passes all when empty. */
  std::function<fate(const fake_object_store::waiting_call&)> store_fate;

  /** Whether watches see no change and answer only when their time is over. */
  bool watches_miss = false;

  void Step() {
    clock_.Advance(kStep);
    UpdateLinks();
    for (auto& member : members_) {
      if (member->alive) member->config->Run(clock_.Now());
    }
    // Several hops fit into a step, as they do between hosts a millisecond apart.
    for (int hop = 0; hop < kHopsAStep; ++hop) {
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

  /** Steps until all living daemons have the generation; returns the steps, or -1 after `most`. */
  int StepsUntil(generation number, int most) {
    for (int i = 0; i <= most; ++i) {
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

  /** The daemon forgets everything and starts again. */
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
  static constexpr int kHopsAStep = 8;
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
      const fate what = message_fate ? message_fate(message) : fate::kPass;
      if (what == fate::kLose) continue;
      if (what == fate::kDamage && !message.message.body.empty()) {
        message.message.body[message.message.body.size() / 2] ^= 0x55;
      }
      const peer_id from = PeerIdOf(fleet_peers::AddressOf(message.from));
      config_system& receiver = *member(message.to).config;
      receiver.OnPeerMessage(from, message.message);
      if (what == fate::kTwice) receiver.OnPeerMessage(from, message.message);
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
      const fate what = store_fate ? store_fate(call) : fate::kPass;
      Answer(i, what);
    }
  }

  bool IsDue(const fake_object_store::waiting_call& call) {
    if (call.call.operation != store_operation::kWatch) return true;
    const auto [since, added] = watch_since_.try_emplace(call.id, clock_.Now());
    const bool expired = clock_.Now() - since->second >= call.call.timeout;
    return expired || (!watches_miss && store_.HasNews(call.call));
  }

  void Answer(std::size_t place, fate what) {
    switch (what) {
      case fate::kLose:
        return store_.FailAt(place, store_outcome::kUnknown);
      case fate::kLoseAnswer:
        return store_.RunAtLosingAnswer(place);
      case fate::kRefuse:
        return store_.FailAt(place, store_outcome::kRefused);
      case fate::kDamage:
        return store_.RunAtDamaging(place);
      default:
        return store_.RunAt(place);
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
