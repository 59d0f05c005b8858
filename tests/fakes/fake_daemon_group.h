/// The peer side of several daemons' cores in one process, driven tick by tick.
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
 * One daemon without its request path.
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
 * Daemons of one or more data centres on one network and one clock.
 */
class fake_daemon_group {
 public:
  explicit fake_daemon_group(std::uint64_t seed = 1) : fake_daemon_group(seed, no_cpu) {}
  fake_daemon_group(std::uint64_t seed, const cpu_clock& processor) : cpu(processor), seed_(seed) {}

  /** Starts a daemon; it knows the first of its data centre, and the very first of all. */
  fake_daemon& Start(const std::string& address, const std::string& data_centre = "dc1") {
    daemon_identity identity;
    identity.address = address;
    identity.id = PeerIdOf(address);
    identity.incarnation = incarnation_id(++last_incarnation_);
    identity.data_centre = data_centre;
    identity.region = "region";
    const std::vector<std::string> seeds = seeds_;
    const bool known = first_of_.count(data_centre) != 0;
    if (!known) {
      first_of_[data_centre] = address;
      seeds_.push_back(address);
    }
    daemons_.push_back(std::make_unique<fake_daemon>(network, time, cpu, engines, identity, seeds,
                                                     seed_ * 1000 + daemons_.size()));
    return *daemons_.back();
  }

  /** The process is killed. Its place in the list stays empty. */
  void Kill(std::size_t place) {
    network.Remove(daemons_[place]->router.identity().address);
    daemons_[place].reset();
  }

  void Freeze(std::size_t place, bool frozen = true) {
    daemons_[place]->frozen = frozen;
    network.Freeze(daemons_[place]->router.identity().address, frozen);
  }

  /** Lets the time pass in ticks; `each` is called after every one. */
  void Advance(duration length, const std::function<void()>& each = {}) {
    for (duration passed{0}; passed < length; passed += kTick) {
      time.Advance(kTick);
      network.Step();
      for (const auto& daemon : daemons_) {
        if (daemon && !daemon->frozen) daemon->Run(time.Now());
      }
      network.Step();
      if (each) each();
    }
  }

  /** Lets time pass until the condition holds; false when it did not within `bound`. */
  bool AdvanceUntil(const std::function<bool()>& condition, duration bound) {
    for (duration passed{0}; passed < bound; passed += kTick) {
      if (condition()) return true;
      Advance(kTick);
    }
    return condition();
  }

  /** Whether every running daemon sees exactly the running ones of its data centre. */
  bool ViewsAgree() const {
    for (const auto& one : daemons_) {
      if (!one || one->frozen) continue;
      if (!SeesTheRunning(*one)) return false;
    }
    return true;
  }

  bool SeesTheRunning(const fake_daemon& one) const {
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

  /** Gives the engines `10.9.0.<i>:1` to every daemon of the data centre by its host list. */
  void ListEngines(int count, const std::string& data_centre = "dc1") {
    hosts.clear();
    for (int i = 0; i < count; ++i) {
      host_entry host;
      host.address = "10.9." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":1";
      host.data_centre = data_centre;
      hosts.push_back(host);
      if (engines.reports.count(UpstreamIdOf(host.address)) == 0) engines.Add(host.address);
    }
    GiveHostList();
  }
  void GiveHostList() {
    for (const auto& daemon : daemons_) {
      if (daemon) daemon->listing.OnHostList(hosts);
    }
  }

  fake_daemon& at(std::size_t place) { return *daemons_[place]; }
  bool running(std::size_t place) const { return daemons_[place] != nullptr; }
  std::size_t size() const { return daemons_.size(); }

  static constexpr duration kTick = milliseconds(50);

  /** Takes no processor time, so that tests are the same every run. */
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
  std::map<std::string, std::string> first_of_;
};

/** A daemon's address in the tests. */
inline std::string DaemonAddress(std::size_t place, int data_centre = 1) {
  return "10." + std::to_string(data_centre) + ".0." + std::to_string(place + 1) + ":7000";
}

}  // namespace hawthorndrum
