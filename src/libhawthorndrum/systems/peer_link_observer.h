/// Link events that the router reports to membership.
#pragma once

#include "tables/daemon_identity.h"

namespace hawthorndrum {

/**
 * Receives the events of authenticated links.
 */
class peer_link_observer {
 public:
  virtual ~peer_link_observer() = default;
  /** Called with the hello of an authenticated daemon; returning false closes the link. */
  virtual bool OnPeerHello(const daemon_identity& peer) = 0;
  /** Called when the link to the peer is ready for messages. */
  virtual void OnPeerLinked(const daemon_identity& peer) = 0;
  /** Called when an authenticated frame arrives from the peer. */
  virtual void OnFrameReceived(peer_id peer) = 0;
  /** Called when the peer's link in use has closed. */
  virtual void OnPeerUnlinked(peer_id peer) = 0;
  /** Called when a dialled link closes before a hello has been accepted on it. */
  virtual void OnDialFailed(std::string_view address) = 0;
};

}  // namespace hawthorndrum
