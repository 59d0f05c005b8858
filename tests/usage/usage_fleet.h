/// Daemons that count and report usage on one store and one platform, with faults.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/hash.h"
#include "base/metrics_registry.h"
#include "duties/duty_listener.h"
#include "duties/duty_port.h"
#include "duties/lease_authority.h"
#include "fake_clock.h"
#include "fake_object_store.h"
#include "fake_random_source.h"
#include "gateway/daemon_directory.h"
#include "gateway/directory_peers.h"
#include "ports/clock.h"
#include "recording_log.h"
#include "systems/lease_system.h"
#include "usage/usage_exchange.h"
#include "usage/usage_reporter.h"
#include "usage/usage_sender.h"

namespace hawthorndrum {

class usage_fleet;

/** One daemon's process. */
class usage_daemon : public usage_sender, public duty_port, public object_store, public clock {
 public:
  usage_daemon(usage_fleet& fleet, int number, std::uint64_t wall_ms);

  time_point Now() const override;
  void SendUsage(const std::string& address, const std::vector<std::uint8_t>& bytes) override;
  void ReportUsage(duty_call_id call, const usage_report& report, const duty_terms& terms,
                   duty_listener& listener) override;
  void OrderUpstreams(duty_call_id, const upstream_order&, const duty_terms&,
                      duty_listener&) override {}
  store_call_id Submit(store_call call, store_listener& listener) override;
  void Run();

  static std::string Address(int number) { return "10.0.0." + std::to_string(number) + ":7"; }

  usage_fleet& fleet;
  int number;
  fake_random_source random;
  metrics_registry metrics;
  recording_log log;
  daemon_directory directory;
  directory_peers peers;
  lease_system lease;
  lease_authority authority;
  usage_exchange exchange;
  usage_reporter reporter;
  bool paused = false;
  bool no_platform = false;
  bool no_store = false;
};

/** Advances in steps; a datagram, an answer and a call to the store take one each. */
class usage_fleet {
 public:
  static constexpr duration kStep = milliseconds(50);
  static constexpr std::uint64_t kWindowMs = 5000;

  explicit usage_fleet(int count);

  void Step();
  void Run(duration time) {
    for (duration done{0}; done < time; done += kStep) Step();
  }
  /** A request of the team begins at that daemon. */
  void Begin(int daemon, const std::string& team);
  void Kill(int daemon);
  /** Begins the process of a killed daemon's host again. */
  void Start(int daemon, std::int64_t clock_error_ms = 0);
  int Holder() const;
  std::uint64_t WallMs() const {
    return 1'700'000'000'000 + static_cast<std::uint64_t>(ToMilliseconds(now - time_point{}));
  }
  std::uint64_t OpenWindow() const { return WallMs() / kWindowMs; }
  usage_daemon& at(int i) { return *daemons.at(static_cast<std::size_t>(i)); }
  /** Describes what the platform would object to; empty if there is nothing. */
  std::string Violations() const { return violations; }
  /** Counts the windows from `from` on whose report, due `late_ms` after their end, is missing,
   * late or wrong. */
  int Missing(std::uint64_t from, std::uint64_t late_ms, double off) const;

  time_point now{seconds(1000)};
  fake_object_store store;
  std::vector<std::unique_ptr<usage_daemon>> daemons;
  std::map<std::uint64_t, std::map<std::string, std::uint64_t>> truth;
  std::map<std::uint64_t, std::map<std::string, std::uint64_t>> reports;
  /** When a report was first accepted. */
  std::map<std::uint64_t, std::uint64_t> reported_ms;
  bool platform_down = false;
  /** How many of the next accepted calls get no answer. */
  int lose_answers = 0;
  /** Every so many datagrams is lost; 0 for none. */
  int lose_each = 0;
  std::uint64_t bytes = 0;
  std::map<std::string, std::uint64_t> bytes_to;
  std::string violations;

 private:
  friend class usage_daemon;
  struct datagram {
    std::string to;
    std::string from;
    std::vector<std::uint8_t> bytes;
  };
  struct platform_call {
    int daemon = 0;
    duty_call_id id;
    usage_report report;
    duty_terms terms;
    duty_listener* listener = nullptr;
  };
  usage_daemon* Listening(const std::string& address);
  duty_outcome Accept(const platform_call& call);
  void Fail(const std::string& what) { violations += what + "\n"; }

  std::deque<datagram> datagrams_;
  std::deque<platform_call> calls_;
  std::uint64_t sent_ = 0;
  std::uint64_t last_term_ = 0;
  int last_caller_ = -1;
  time_point last_call_at_;
  /** Ended processes; answers to them may still be under way. */
  std::vector<std::unique_ptr<usage_daemon>> dead_;
};

}  // namespace hawthorndrum
