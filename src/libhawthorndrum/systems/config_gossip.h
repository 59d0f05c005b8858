/// Announces the generation in force here to peers, and stores their announcements.
#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "ports/peer_port.h"
#include "systems/system.h"
#include "tables/config_message.h"

namespace hawthorndrum {

class random_source;

/** The last status received from another data centre. */
struct remote_status {
  config_status status;
  time_point received_at;
};

/**
 * Announces a new generation to all linked peers at once. Every second it repeats the announcement
 * to one linked peer in this data centre and one in another, to make up for lost messages. A daemon
 * that receives a lower generation than its own answers with its own. A daemon with links to other
 * data centres sends them its data centre's status when it changes, and every 10 s.
 */
class config_gossip : public system {
 public:
  config_gossip(peer_port& peers, random_source& random, std::string address,
                std::string data_centre);

  /** Sets the generation in force here and announces it. */
  void SetCurrent(generation number, const content_digest& head);
  void Run(time_point now) override;

  /** Stores the announcement; answers with its own when the sender is behind. */
  void OnAnnouncement(peer_id from, const config_announcement& announcement);
  void OnStatus(peer_id from, const config_status& status);

  /** The status of this data centre, including this daemon. */
  config_status OwnStatus() const;
  const std::map<std::string, remote_status>& remote() const { return remote_; }
  /** Returns the peer's last announcement, or nullptr. */
  const config_announcement* LastAnnouncement(peer_id peer) const;
  /** Returns the announcement with the highest generation of any live peer, or nullptr. */
  const config_announcement* NewestAnnouncement() const;

 private:
  config_announcement OwnAnnouncement() const;
  void AnnounceToOne(bool same_data_centre);
  void SendOwnStatus();
  void Forward(const config_status& status);
  void RemoveDeadPeers();
  void RemoveExpiredDataCentres();

  peer_port& peers_;
  random_source& random_;
  std::string address_;
  std::string data_centre_;
  generation current_;
  content_digest head_;
  time_point now_;
  time_point next_announcement_;
  time_point next_status_;
  config_status last_sent_;
  std::unordered_map<peer_id, config_announcement> announcements_;
  std::map<std::string, remote_status> remote_;
};

}  // namespace hawthorndrum
