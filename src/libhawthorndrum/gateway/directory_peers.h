/// The daemons of the directory, as the lease sees them.
#pragma once

#include <vector>

#include "gateway/daemon_directory.h"
#include "ports/peer_port.h"

namespace hawthorndrum {

/**
 * Names the daemons only: the lease's holder is found in the store, so that nothing is sent. All
 * count as one data centre, since one lease covers the whole fleet.
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
  /** Kept between calls, so that a reference to it can be given out. */
  mutable std::vector<live_peer> peers_;
};

}  // namespace hawthorndrum
