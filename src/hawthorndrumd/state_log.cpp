/// Logs changes of a daemon's state.
#include "state_log.h"

#include <glog/logging.h>

#include "ports/peer_port.h"
#include "systems/lease_system.h"
#include "systems/store_client.h"
#include "tables/config_view.h"

namespace hawthorndrum {

namespace {

const char* BreakerText(int breaker) {
  switch (static_cast<breaker_state>(breaker)) {
    case breaker_state::kClosed:
      return "closed";
    case breaker_state::kOpen:
      return "open";
    case breaker_state::kHalfOpen:
      return "half-open";
  }
  return "unknown";
}

}  // namespace

void state_log::Run(time_point) {
  const state present = ReadState();
  if (present.generation != last_.generation) {
    LOG(INFO) << "configuration changed: generation=" << present.generation
              << " was=" << last_.generation;
  }
  if (present.holds_lease != last_.holds_lease) {
    LOG(INFO) << (present.holds_lease ? "lease acquired" : "lease lost")
              << " term=" << present.term;
  }
  if (present.store_breaker != last_.store_breaker) {
    LOG(WARNING) << "object API circuit breaker changed: state="
                 << BreakerText(present.store_breaker)
                 << " was=" << BreakerText(last_.store_breaker);
  }
  if (present.peers != last_.peers) {
    LOG(INFO) << "peers changed: alive=" << present.peers << " was=" << last_.peers;
  }
  last_ = present;
}

state_log::state state_log::ReadState() const {
  state present;
  present.generation = config_.current().value();
  present.holds_lease = lease_.Holds();
  present.term = lease_.term().value();
  present.store_breaker = static_cast<int>(store_.state());
  present.peers = peers_.Peers().size();
  return present;
}

}  // namespace hawthorndrum
