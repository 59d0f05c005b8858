/// Tells peers which generation is in force here, and keeps what they say of theirs.
#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "ports/peer_port.h"
#include "systems/system.h"
#include "tables/config_message.h"

namespace hawthorndrum {

class random_source;

/** What a daemon with links to other data centres last heard of one of them. */
struct remote_status {
  config_status status;
  time_point heard;
};

/**
 * A new generation is announced to every linked peer at once. Each second one linked peer in this
 * data centre and one in another are told the generation again, so that a lost announcement is made
 * up for; who is told of a lower one than its own answers with its own. A daemon with links to
 * other data centres sends them its own one's status when it changed, and now and then.
 */
class config_gossip : public system {
 public:
  config_gossip(peer_port& peers, random_source& random, std::string address,
                std::string data_centre);

  /** A new generation is in force here. */
  void SetCurrent(generation number, const content_digest& head);
  void Run(time_point now) override;

  /** Keeps the announcement; answers it when the sender is behind. */
  void OnAnnouncement(peer_id from, const config_announcement& announcement);
  void OnStatus(peer_id from, const config_status& status);

  /** This data centre's status, own daemon included. */
  config_status OwnStatus() const;
  const std::map<std::string, remote_status>& remote() const { return remote_; }
  /** What the peer announced last; nullptr when it was not heard. */
  const config_announcement* HeardFrom(peer_id peer) const;
  /** The highest generation announced by a peer that is alive; nullptr when none was heard. */
  const config_announcement* NewestHeard() const;

 private:
  config_announcement Own() const;
  void TellOne(bool same_data_centre);
  void SendOwnStatus();
  void Forward(const config_status& status);
  void ForgetGonePeers();
  void ForgetGoneDataCentres();

  peer_port& peers_;
  random_source& random_;
  std::string address_;
  std::string data_centre_;
  generation current_;
  content_digest head_;
  time_point now_;
  time_point next_round_;
  time_point next_status_;
  config_status last_sent_;
  std::unordered_map<peer_id, config_announcement> heard_;
  std::map<std::string, remote_status> remote_;
};

}  // namespace hawthorndrum
