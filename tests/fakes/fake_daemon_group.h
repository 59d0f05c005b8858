/// Peer groups of several daemons in one process, driven tick by tick.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fake_clock.h"
#include "fake_engines.h"
#include "fake_peer_network.h"
#include "fake_random_source.h"
#include "systems/peer_group_builder.h"

namespace hawthorndrum {

struct fake_cpu_clock : cpu_clock {
  std::uint64_t ThreadNanoseconds() const override { return 0; }
};

/**
 * One daemon without the handling of requests.
 */
struct fake_daemon {
  fake_daemon(fake_peer_network& network, const clock& time, const cpu_clock& cpu,
              fake_engines& engines, const daemon_identity& identity,
              std::vector<std::string> seeds, std::uint64_t seed)
      : random(seed),
        transport(network, identity.address),
        engine_port(engines),
        group(peer_group_builder()
                  .Self(identity)
                  .Key("key")
                  .Seeds(std::move(seeds))
                  .Transport(transport)
                  .Engines(engine_port)
                  .Upstreams(upstreams)
                  .Clock(time)
                  .CpuClock(cpu)
                  .Random(random)
                  .Metrics(metrics)
                  .Build()),
        router(group->router()),
        membership(group->membership()),
        listing(group->listing()),
        load(group->load()) {
    transport.Start(*group);
  }

  void Run(time_point now) {
    engine_port.AnswerAll(*group);
    group->Run(now);
  }

  bool Sees(peer_id other) const {
    for (const live_peer& peer : router.Peers()) {
      if (peer.id == other) return true;
    }
    return false;
  }
  std::uint64_t Count(const std::string& name, const std::string& labels = {}) {
    return metrics.Counter(name, labels).value();
  }

  metrics_registry metrics;
  fake_random_source random;
  fake_peer_transport transport;
  fake_engine_port engine_port;
  upstream_table upstreams;
  std::unique_ptr<peer_group> group;
  peer_router& router;
  membership_system& membership;
  upstream_membership& listing;
  load_digest_system& load;
  bool frozen = false;
};

/**
 * Daemons of one or more data centres that share a network and a clock.
 */
class fake_daemon_group {
 public:
  explicit fake_daemon_group(std::uint64_t seed = 1) : fake_daemon_group(seed, no_cpu) {}
  fake_daemon_group(std::uint64_t seed, const cpu_clock& processor) : cpu(processor), seed_(seed) {}

  /** Starts a daemon. Its seeds are the first daemons of all data centres started so far. */
  fake_daemon& Start(const std::string& address, const std::string& data_centre = "dc1") {
    daemon_identity identity;
    identity.address = address;
    identity.id = PeerIdOf(address);
    identity.incarnation = incarnation_id(++last_incarnation_);
    identity.data_centre = data_centre;
    identity.region = "region";
    const std::vector<std::string> seeds = seeds_;
    const bool known = first_addresses_.count(data_centre) != 0;
    if (!known) {
      first_addresses_[data_centre] = address;
      seeds_.push_back(address);
    }
    daemons_.push_back(std::make_unique<fake_daemon>(network, time, cpu, engines, identity, seeds,
                                                     seed_ * 1000 + daemons_.size()));
    return *daemons_.back();
  }

  /** Kills a daemon. Its index is not reused. */
  void Kill(std::size_t index) {
    network.Remove(daemons_[index]->router.identity().address);
    daemons_[index].reset();
  }

  void Freeze(std::size_t index, bool frozen = true) {
    daemons_[index]->frozen = frozen;
    network.Freeze(daemons_[index]->router.identity().address, frozen);
  }

  /** Advances time in ticks and calls `on_tick` after each. */
  void Advance(duration length, const std::function<void()>& on_tick = {}) {
    for (duration passed{0}; passed < length; passed += kTick) {
      time.Advance(kTick);
      network.Step();
      for (const auto& daemon : daemons_) {
        if (daemon && !daemon->frozen) daemon->Run(time.Now());
      }
      network.Step();
      if (on_tick) on_tick();
    }
  }

  /** Advances time until the condition holds; returns false if it does not within `bound`. */
  bool AdvanceUntil(const std::function<bool()>& condition, duration bound) {
    for (duration passed{0}; passed < bound; passed += kTick) {
      if (condition()) return true;
      Advance(kTick);
    }
    return condition();
  }

  /** Returns whether every running daemon sees exactly the running ones of its data centre. */
  bool ViewsAgree() const {
    for (const auto& one : daemons_) {
      if (!one || one->frozen) continue;
      if (!SeesExactlyTheRunning(*one)) return false;
    }
    return true;
  }

  bool SeesExactlyTheRunning(const fake_daemon& one) const {
    std::size_t running = 0;
    for (const auto& other : daemons_) {
      if (!other || other.get() == &one || other->frozen) continue;
      const bool same = other->router.identity().data_centre == one.router.identity().data_centre;
      if (!same) continue;
      ++running;
      if (!one.Sees(other->router.self())) return false;
    }
    std::size_t seen = 0;
    for (const live_peer& peer : one.router.Peers()) seen += peer.same_data_centre ? 1 : 0;
    return seen == running;
  }

  /** Adds engines `10.9.<i / 250>.<i % 250>:1` and passes them to all daemons as the host list. */
  void ListEngines(int count, const std::string& data_centre = "dc1") {
    hosts.clear();
    for (int i = 0; i < count; ++i) {
      host_entry host;
      host.address = "10.9." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":1";
      host.data_centre = data_centre;
      hosts.push_back(host);
      if (engines.reports.count(UpstreamIdOf(host.address)) == 0) engines.Add(host.address);
    }
    SendHostList();
  }
  void SendHostList() {
    for (const auto& daemon : daemons_) {
      if (daemon) daemon->listing.OnHostList(hosts);
    }
  }

  fake_daemon& at(std::size_t index) { return *daemons_[index]; }
  bool running(std::size_t index) const { return daemons_[index] != nullptr; }
  std::size_t size() const { return daemons_.size(); }

  static constexpr duration kTick = milliseconds(50);

  /** Reports no CPU time, so that tests are deterministic. */
  fake_cpu_clock no_cpu;
  const cpu_clock& cpu;
  fake_clock time;
  fake_peer_network network{time};
  fake_engines engines;
  std::vector<host_entry> hosts;

 private:
  std::uint64_t seed_;
  std::uint64_t last_incarnation_ = 0;
  std::vector<std::unique_ptr<fake_daemon>> daemons_;
  std::vector<std::string> seeds_;
  std::map<std::string, std::string> first_addresses_;
};

/** Returns the address of a daemon in the tests. */
inline std::string DaemonAddress(std::size_t index, int data_centre = 1) {
  return "10." + std::to_string(data_centre) + ".0." + std::to_string(index + 1) + ":7000";
}

}  // namespace hawthorndrum
