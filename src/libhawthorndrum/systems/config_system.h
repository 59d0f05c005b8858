/// Puts published configurations into force on this daemon, never an older one after a newer one.
#pragma once

#include <memory>
#include <string>

#include "ports/admin_section.h"
#include "ports/peer_port.h"
#include "systems/config_assembler.h"
#include "systems/config_fetch.h"
#include "systems/config_gossip.h"
#include "systems/config_store_watch.h"
#include "tables/config_view.h"

namespace hawthorndrum {

class clock;

/**
 * Learns of new heads from the store, which two daemons of each data centre watch, and from peers.
 * Fetches the parts that differ and switches to the generation in one step when all of them have
 * arrived and passed their checks.
 *
 * Invariant: current() never decreases. A lower generation is refused and counted, whatever its
 * source, and so is a different configuration with the current number.
 *
 * After a start, the daemon waits a while for the store and its peers, so that it does not put into
 * force a generation older than the newest one they know.
 */
class config_system : public config_view,
                      public system,
                      public peer_listener,
                      public admin_section,
                      private store_head_listener,
                      private part_listener {
 public:
  /** Use config_system_builder. */
  config_system(object_store& store, peer_port& peers, const clock& time, random_source& random,
                metrics_registry& metrics, std::string address, std::string data_centre);

  std::shared_ptr<const service_config> Find(std::string_view service) const override;
  generation current() const override { return tree_.head.number; }

  void Run(time_point now) override;
  /** Handles the topics kConfigHead, kConfigRequest, kConfigPart and kStatus. */
  void OnPeerMessage(peer_id from, const peer_message& message) override;

  std::string_view name() const override { return "config"; }
  expected<nlohmann::json> Report(std::string_view item) const override;
  expected<nlohmann::json> Act(std::string_view verb, const nlohmann::json& arguments) override;

  const config_tree& tree() const { return tree_; }
  /** The lowest generation of all known daemons, this one included. */
  generation LowestKnown() const;

 private:
  void OnStoreHead(const std::string& bytes) override;
  void OnStoreHeadMissing() override;
  bool OnPart(const content_digest& digest, const std::string& bytes) override;

  void OnAnnouncement(peer_id from, const config_announcement& announcement);
  void OnRequest(peer_id from, const config_request& request);
  void OnPeerPart(peer_id from, const config_part_message& part);

  void UpdateWatching();
  std::size_t WatcherRank() const;
  bool IsNewer(generation number, const content_digest& head, counter& lower_refused);
  void StartFetch(generation number, const content_digest& head);
  void StartFetchFromHead(const std::string& head_bytes);
  void FetchMissing();
  void AbandonStalledFetch();
  void PutIntoForce();
  void FetchNewestAnnounced();
  bool MayPutIntoForce() const;
  void AddHolders();

  peer_port& peers_;
  const clock& clock_;
  std::string data_centre_;
  std::string address_;
  counter& lower_from_store_;
  counter& lower_from_peer_;
  counter& conflicting_;
  counter& malformed_;
  counter& applied_;
  counter& current_gauge_;
  counter& served_parts_;
  counter& parts_not_served_;

  config_tree tree_;
  config_assembler assembler_;
  config_store_watch watch_;
  config_fetch fetch_;
  config_gossip gossip_;

  /** The generation being fetched, whose head may still be missing; 0 when there is none. */
  generation target_;
  content_digest target_head_;
  time_point target_since_;
  /** The newest generation that the store or a peer named; may be above `target_`. */
  generation newest_known_;

  bool started_ = false;
  time_point now_;
  time_point start_;
  time_point next_watching_update_;
  time_point in_force_since_;
  bool store_answered_ = false;
  std::size_t watcher_rank_ = 0;
  /** Bytes that may be sent to peers now: a token bucket. */
  double serve_budget_ = 0;
  time_point serve_refilled_;
};

}  // namespace hawthorndrum
