/// Converts the directory's records to peers.
#include "gateway/directory_peers.h"

#include <algorithm>

#include "base/hash.h"

namespace hawthorndrum {

const std::vector<live_peer>& directory_peers::Peers() const {
  peers_.clear();
  for (const daemon_record& other : daemons_.others()) {
    live_peer peer;
    peer.id = PeerIdOf(other.notices_address);
    peers_.push_back(peer);
  }
  std::sort(peers_.begin(), peers_.end(),
            [](const live_peer& a, const live_peer& b) { return a.id < b.id; });
  return peers_;
}

}  // namespace hawthorndrum
