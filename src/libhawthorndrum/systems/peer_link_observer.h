/// What the router tells membership about links.
#pragma once

#include "tables/daemon_identity.h"

namespace hawthorndrum {

/**
 * Gets the changes of authenticated links.
 */
class peer_link_observer {
 public:
  virtual ~peer_link_observer() = default;
  /** A daemon has proven the key and said who it is; false refuses it and closes the link. */
  virtual bool OnPeerHello(const daemon_identity& peer) = 0;
  /** Its link is usable from now on. */
  virtual void OnPeerLinked(const daemon_identity& peer) = 0;
  /** An authenticated frame of it has arrived. */
  virtual void OnPeerHeard(peer_id peer) = 0;
  /** Its last link is gone. */
  virtual void OnPeerUnlinked(peer_id peer) = 0;
  /** A link that was dialled came to nothing. */
  virtual void OnDialFailed(std::string_view address) = 0;
};

}  // namespace hawthorndrum
