/// Engines' load reports, each polled by one daemon of the data centre and shared with the others.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/metrics_registry.h"
#include "ports/clock.h"
#include "ports/engine_port.h"
#include "ports/load_report.h"
#include "ports/peer_port.h"
#include "ports/random_source.h"
#include "systems/load_messages.h"
#include "systems/system.h"
#include "tables/upstream_table.h"

namespace hawthorndrum {

/**
 * Polls the engines that this daemon owns by rendezvous hashing over the live daemons, and writes
 * its own and the peers' reports into the upstream table. A report replaces an older one and is
 * never added to it, so two owners at once count nothing twice. If an engine's report becomes stale
 * although it has an owner, the next daemons in rank poll it as substitutes, so that a network
 * partition leaves no engine without reports.
 *
 * Invariant: a row's report_time never decreases.
 */
class load_digest_system : public system, public peer_listener {
 public:
  load_digest_system(upstream_table& upstreams, peer_port& peers, engine_port& engines,
                     const clock& time, random_source& random, metrics_registry& metrics);

  /** Handles an engine's answer to PollLoad. */
  void OnLoadReport(const load_report& report);
  /** Handles an engine that could not be polled, or whose answer was malformed. */
  void OnLoadFailed(upstream_id upstream);
  void OnPeerMessage(peer_id from, const peer_message& message) override;

  void Run(time_point now) override;

  /** Whether this daemon polls that engine now. */
  bool Owns(upstream_id upstream) const;
  std::size_t owned_count() const { return owned_.size(); }
  std::size_t MemoryBytes() const;

 private:
  /** An engine that this daemon polls. */
  struct owned_engine {
    load_slot slot = 0;
    time_point next_poll;
    /** When the poll in flight was sent; zero while there is none. */
    time_point requested_at;
    time_point polled;
    std::uint32_t failures = 0;
    /** Polled although another daemon owns it, because the owner's reports do not arrive. */
    bool is_substitute = false;
    /** When a report of a daemon with better rank last arrived; a substitute then stops polling. */
    time_point better_report_at;
    bool has_unsent_report = false;
    bool has_sent = false;
    load_report sent;
    time_point full_sent;
  };

  /** The engines that another daemon's slots stand for. */
  struct peer_view {
    std::uint64_t sequence = 0;
    bool complete = false;
    /**
     * When a snapshot was last requested; before the first request, set so that the wait for an
     * unrequested snapshot passes first.
     */
    time_point requested_at;
    /** Its last report of each slot's engine. */
    std::unordered_map<load_slot, load_report> slots;
  };

  struct counters {
    explicit counters(metrics_registry& metrics);
    counter& polls;
    counter& poll_failures;
    counter& poll_bytes;
    counter& owned;
    counter& substitutes;
    counter& messages;
    counter& fulls;
    counter& changes;
    counter& gaps;
    counter& malformed;
    counter& stale;
  };

  void ReassignOwners(time_point now);
  /** Returns this daemon's rank among those that could poll the engine; rank 0 owns it. */
  std::size_t RankFor(upstream_id upstream) const;
  void TakeOwnership(upstream_id upstream, time_point now, bool is_substitute);
  load_slot FreeSlot() const;
  void DetectPeerChange(time_point now);
  /**
   * Whether no peer has joined recently, or joins have gone on for too long to wait. Ownership is
   * reassigned only then, so that it does not move repeatedly.
   */
  bool IsSettled(time_point now) const;
  void PollDue(time_point now);
  /** Polls engines without any report, so that a starting daemon does not wait for the others. */
  void PollUnknown(time_point now);
  double PollsPerSecond() const;
  duration PollInterval() const;
  /** Returns the age from which on a report is stale: the owner's reports do not arrive. */
  duration StaleAfter() const;
  /**
   * Stores a report that `source` polled. Reports of one source arrive in order, and each replaces
   * the last one; between sources the newer report wins.
   */
  void Write(const load_report& report, time_point made, peer_id source);
  void SendUpdate(time_point now);
  load_message BuildMessage(time_point now);
  void SendSnapshots(time_point now);
  load_full FullOf(owned_engine& engine, const upstream& row, time_point now);
  void ApplyMessage(peer_id from, const load_message& message);
  void ApplyReport(peer_id from, const load_report& report, time_point made);
  void RequestSnapshot(peer_id from, peer_view& view);

  upstream_table& upstreams_;
  peer_port& peers_;
  engine_port& engines_;
  const clock& clock_;
  random_source& random_;
  counters counters_;
  std::unordered_map<upstream_id, owned_engine> owned_;
  std::unordered_map<peer_id, peer_view> views_;
  /** The daemon that polled the report in each row. */
  std::unordered_map<upstream_id, peer_id> sources_;
  /** The incarnation of each linked peer that has been sent a snapshot. */
  std::unordered_map<peer_id, incarnation_id> synced_;
  /** When this daemon last polled engines that have no report and that it does not own. */
  std::unordered_map<upstream_id, time_point> unowned_polls_;
  std::uint64_t sequence_ = 0;
  std::vector<peer_id> last_peers_;
  /** When a peer last joined, and when the current series of joins began. */
  time_point peers_changed_;
  time_point change_began_;
  /** The token bucket that limits polls, and the earliest time of the next snapshot. */
  double poll_tokens_ = 0;
  time_point poll_refill_;
  time_point next_snapshot_;
  time_point next_run_;
  time_point next_update_;
};

}  // namespace hawthorndrum
