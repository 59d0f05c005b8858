/// The directory's daemons as peers of the lease system.
#pragma once

#include <vector>

#include "gateway/daemon_directory.h"
#include "ports/peer_port.h"

namespace hawthorndrum {

/**
 * Lists the daemons but sends nothing: the lease's holder is read from the store. All daemons count
 * as one data centre, since one lease covers the whole fleet.
 */
class directory_peers : public peer_port {
 public:
  directory_peers(const daemon_directory& daemons, peer_id self) : daemons_(daemons), self_(self) {}

  void Send(peer_id, peer_message) override {}
  const std::vector<live_peer>& Peers() const override;
  peer_id self() const override { return self_; }

 private:
  const daemon_directory& daemons_;
  peer_id self_;
  /** Rebuilt by each call of Peers, which returns a reference to it. */
  mutable std::vector<live_peer> peers_;
};

}  // namespace hawthorndrum
