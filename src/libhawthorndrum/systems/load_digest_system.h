/// Each engine's load, polled by one daemon of the data centre and shared with the others.
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
 * Polls the engines that this daemon owns by rendezvous hash over the live daemons, and writes its
 * own and the others' reports into the upstream table. A report replaces an older one and is never
 * added to it, so two owners at once count nothing twice; a report that grows old although it has
 * an owner is polled by the next daemons in rank, so that no cut leaves a gap.
 *
 * Invariant: a row's report_time only rises.
 */
class load_digest_system : public system, public peer_listener {
 public:
  load_digest_system(upstream_table& upstreams, peer_port& peers, engine_port& engines,
                     const clock& time, random_source& random, metrics_registry& metrics);

  /** An engine answered PollLoad. */
  void OnLoadReport(const load_report& report);
  /** An engine could not be asked, or answered with rubbish. */
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
    /** When the poll under way was sent; zero while there is none. */
    time_point asked;
    time_point polled;
    std::uint32_t failures = 0;
    /** Kept although another daemon owns it, because that one's reports do not arrive. */
    bool stand_in = false;
    /** When a daemon of better rank last told of it; a stand-in then lets go. */
    time_point better_heard;
    bool has_news = false;
    bool has_sent = false;
    load_report sent;
    time_point full_sent;
  };

  /** What another daemon's slots stand for. */
  struct peer_view {
    std::uint64_t sequence = 0;
    bool complete = false;
    /** When a snapshot was last asked for, or when messages without one began. */
    time_point asked;
    /** What it last said of each slot's engine. */
    std::unordered_map<load_slot, load_report> slots;
  };

  struct counters {
    explicit counters(metrics_registry& metrics);
    counter& polls;
    counter& poll_failures;
    counter& poll_bytes;
    counter& owned;
    counter& stand_ins;
    counter& messages;
    counter& fulls;
    counter& changes;
    counter& gaps;
    counter& malformed;
    counter& stale;
  };

  void ReassignOwners(time_point now);
  /** This daemon's place among those that could poll the engine; 0 owns it. */
  std::size_t RankFor(upstream_id upstream) const;
  void Own(upstream_id upstream, time_point now, bool stand_in);
  load_slot FreeSlot() const;
  void NoticeChangeOfPeers(time_point now);
  /** Whether the daemons' views have come to rest, so that ownership is not passed on and on. */
  bool IsSettled(time_point now) const;
  void PollDue(time_point now);
  /** Asks engines of which nobody has told yet, so that a start waits for no other daemon. */
  void PollUnknown(time_point now);
  double PollsPerSecond() const;
  duration PollInterval() const;
  /** The age from which on a report's owner is taken to be unheard. */
  duration StaleAfter() const;
  /**
   * Takes a report that `source` made or passed on. What one source says comes in order and
   * replaces what it said before; between sources the newer report wins.
   */
  void Write(const load_report& report, time_point made, peer_id source);
  void SpreadNews(time_point now);
  load_message CollectNews(time_point now);
  void SendSnapshots(time_point now);
  load_full FullOf(owned_engine& engine, const upstream& row, time_point now);
  void TakeNews(peer_id from, const load_message& message);
  void TakeReport(peer_id from, const load_report& report, time_point made);
  void AskForSnapshot(peer_id from, peer_view& view);

  upstream_table& upstreams_;
  peer_port& peers_;
  engine_port& engines_;
  const clock& clock_;
  random_source& random_;
  counters counters_;
  std::unordered_map<upstream_id, owned_engine> owned_;
  std::unordered_map<peer_id, peer_view> views_;
  /** Whose report each row holds. */
  std::unordered_map<upstream_id, peer_id> sources_;
  /** Which incarnation of each linked peer has had a snapshot. */
  std::unordered_map<peer_id, incarnation_id> synced_;
  /** When engines without any report were asked by a daemon that does not own them. */
  std::unordered_map<upstream_id, time_point> first_asked_;
  std::uint64_t sequence_ = 0;
  std::vector<peer_id> last_peers_;
  /** When a peer last came, and when the first of those came that came one upon another. */
  time_point peers_changed_;
  time_point changing_since_;
  /** Tokens of the buckets that bound polls and snapshots. */
  double poll_tokens_ = 0;
  time_point poll_refill_;
  time_point next_snapshot_;
  time_point next_run_;
  time_point next_spread_;
};

}  // namespace hawthorndrum
