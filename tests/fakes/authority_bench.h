/// Several daemons' authority on one store, with fake engines and faults, advanced step by step.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/hash.h"
#include "base/metrics_registry.h"
#include "fake_clock.h"
#include "fake_object_store.h"
#include "fake_order_engine.h"
#include "fake_random_source.h"
#include "ports/engine_port.h"
#include "ports/peer_port.h"
#include "systems/authority.h"

namespace hawthorndrum {

class authority_bench;

/** A demand that a test sets. */
class fake_demand : public demand_source {
 public:
  std::vector<model_demand> Demand() const override { return demand; }
  std::vector<model_demand> demand;
};

/**
 * One daemon: its core, and the fake I/O layer behind its ports.
 */
class bench_daemon : public object_store, public engine_port, public peer_port {
 public:
  bench_daemon(authority_bench& bench, int number, std::uint64_t incarnation);

  store_call_id Submit(store_call call, store_listener& listener) override;
  void Order(std::string_view address, const engine_order& order,
             order_listener& listener) override;
  void PollLoad(upstream_id, std::string_view) override {}
  void Send(peer_id to, peer_message message) override;
  const std::vector<live_peer>& Peers() const override { return peers; }
  peer_id self() const override { return PeerIdOf(Address(number)); }

  static std::string Address(int number) { return "10.0.0." + std::to_string(number) + ":9"; }

  authority_bench& bench;
  int number;
  incarnation_id incarnation;
  fake_clock time;
  fake_random_source random;
  metrics_registry metrics;
  upstream_table upstreams;
  fake_demand demand;
  std::vector<live_peer> peers;
  bool paused = false;
  /** The speed of its clock relative to the bench. */
  double rate = 1;
  /** Its requests at each engine. */
  std::map<int, std::uint32_t> requests;
  authority core;
};

/**
 * Advances everything in steps of kStep. Calls to the store take two steps (request and answer), an
 * order three (in the I/O layer before and after its check of the clock, then the answer). Calls
 * that a daemon sent before it was paused continue; the answers wait.
 */
class authority_bench {
 public:
  static constexpr duration kStep = milliseconds(250);

  authority_bench(int daemons, const std::vector<bool>& engines_check);

  void Step();
  void Run(duration time) {
    for (duration done{0}; done < time; done += kStep) Step();
  }

  bench_daemon& daemon(int i) { return *daemons_.at(static_cast<std::size_t>(i)); }
  int daemon_count() const { return static_cast<int>(daemons_.size()); }
  fake_order_engine& engine(int i) { return engines_.at(static_cast<std::size_t>(i)); }
  int engine_count() const { return static_cast<int>(engines_.size()); }

  /** The daemon that holds the lease by its own clock, or -1; counts all in `holders`. */
  int Holder(int* holders = nullptr);
  expected<order_id> Propose(int engine, engine_role role);
  expected<order_id> Propose(const order_request& request);

  void Kill(int daemon);
  void Pause(int daemon, bool paused) { this->daemon(daemon).paused = paused; }
  void CutStore(int daemon, bool cut) { Set(no_store_, daemon, cut); }
  void CutEngines(int daemon, bool cut) { Set(no_engines_, daemon, cut); }
  void CutPeers(int daemon, bool cut) { Set(no_peers_, daemon, cut); }
  /** Removes the daemon from the others' peers and from the host list. */
  void Withdraw(int daemon) { withdrawn_.insert(daemon); }
  void Heal();
  void BeginRequest(int daemon, int engine);
  void EndRequests();

  // Faults: how many of the next calls or messages of a kind they affect.
  int lose_store_answers = 0;
  int delay_store_writes = 0;
  int lose_order_answers = 0;
  int delay_orders = 0;
  int repeat_messages = 0;
  int lose_messages = 0;
  bool store_down = false;
  /** Reports show the engines as they were this many steps ago. */
  std::size_t report_lag = 0;

  /** Whether a write (`write`) or a read of that object is in flight. */
  bool HasStoreCall(const std::string& key, bool write) const;
  /** Whether an order is in that phase of its call. */
  bool HasOrderBeforeClockCheck() const { return HasOrderInPhase(order_phase::kBeforeClockCheck); }
  bool HasOrderAfterClockCheck() const { return HasOrderInPhase(order_phase::kAfterClockCheck); }
  bool HasOrderAnswered() const { return HasOrderInPhase(order_phase::kAnswered); }

  /** Describes the violated invariants; empty if there are none. */
  std::string Violations();

  fake_object_store store;

 private:
  friend class bench_daemon;

  struct store_flight {
    int daemon = 0;
    std::uint64_t incarnation = 0;
    store_call_id id;
    store_call call;
    store_listener* listener = nullptr;
    bool applied = false;
    store_answer answer;
  };
  enum class order_phase { kBeforeClockCheck, kAfterClockCheck, kAnswered };
  struct order_flight {
    int daemon = 0;
    std::uint64_t incarnation = 0;
    std::string address;
    engine_order order;
    order_listener* listener = nullptr;
    order_phase phase = order_phase::kBeforeClockCheck;
    /** The engine's run that the connection leads to; it is made before the check of the clock. */
    std::uint64_t run = 0;
    order_answer answer;
  };
  struct message_flight {
    peer_id from;
    peer_id to;
    peer_message message;
    int steps = 1;
  };
  struct late_order {
    engine_order order;
    std::string address;
    int sender = 0;
    int steps = 0;
    /** The engine's run that its connection led to. */
    std::uint64_t run = 0;
  };
  struct late_write {
    store_call call;
    int steps = 0;
  };

  bool HasOrderInPhase(order_phase phase) const {
    for (const order_flight& flight : order_flights_) {
      if (flight.phase == phase) return true;
    }
    return false;
  }
  static void Set(std::set<int>& set, int daemon, bool cut) {
    if (cut) {
      set.insert(daemon);
    } else {
      set.erase(daemon);
    }
  }
  bool IsAlive(int daemon, std::uint64_t incarnation) {
    return this->daemon(daemon).incarnation.value() == incarnation;
  }
  fake_order_engine* EngineAt(const std::string& address);
  bool IsOpenInJournal(const fake_order_engine& engine, const engine_order& order);
  order_answer Deliver(const engine_order& order, const std::string& address, int sender);
  void AdvanceStoreCalls();
  void AdvanceOrders();
  void AdvanceMessages();
  void AdvanceLateArrivals();
  void DeliverReports();
  void UpdatePeers();
  void DeliverHostLists();

  std::vector<std::unique_ptr<bench_daemon>> daemons_;
  /** Killed daemons; nothing is delivered to them. */
  std::vector<std::unique_ptr<bench_daemon>> dead_;
  std::vector<fake_order_engine> engines_;
  std::deque<std::vector<load_report>> past_reports_;
  std::deque<store_flight> store_flights_;
  std::deque<order_flight> order_flights_;
  std::deque<message_flight> message_flights_;
  std::vector<late_order> late_orders_;
  std::vector<late_write> late_writes_;
  std::set<int> no_store_;
  std::set<int> no_engines_;
  std::set<int> no_peers_;
  std::set<int> withdrawn_;
  std::uint64_t last_call_ = 0;
  std::uint64_t last_incarnation_ = 0;
  int steps_ = 0;
  std::string violations_;
};

}  // namespace hawthorndrum
