/// Port to the other daemons.
#pragma once

#include <vector>

#include "base/ids.h"
#include "ports/peer_message.h"

namespace hawthorndrum {

/**
 * Receives the messages of the topics it is registered for.
 */
class peer_listener {
 public:
  virtual ~peer_listener() = default;
  virtual void OnPeerMessage(peer_id from, const peer_message& message) = 0;
};

/**
 * A daemon that is considered alive.
 */
struct live_peer {
  peer_id id;
  incarnation_id incarnation;
  bool same_data_centre = true;
  /** Whether a link to it is up now. */
  bool linked = false;
};

/**
 * Sends messages to other daemons. A message may be lost, duplicated or delayed.
 */
class peer_port {
 public:
  virtual ~peer_port() = default;
  virtual void Send(peer_id to, peer_message message) = 0;
  /** Returns all daemons considered alive except this one, ordered by id. */
  virtual const std::vector<live_peer>& Peers() const = 0;
  /** Returns this daemon's id. */
  virtual peer_id self() const = 0;
};

}  // namespace hawthorndrum
