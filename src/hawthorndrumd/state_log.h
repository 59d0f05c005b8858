/// Logs changes of a daemon's state.
#pragma once

#include <cstddef>
#include <cstdint>

#include "systems/system.h"

namespace hawthorndrum {

class config_view;
class lease_system;
class peer_port;
class store_client;

/**
 * Compares the state with that of the previous tick and logs what changed. Counts are left to the
 * metrics.
 */
class state_log : public system {
 public:
  state_log(const config_view& config, const lease_system& lease, const store_client& store,
            const peer_port& peers)
      : config_(config), lease_(lease), store_(store), peers_(peers) {}

  void Run(time_point now) override;

 private:
  struct state {
    std::uint64_t generation = 0;
    bool holds_lease = false;
    std::uint64_t term = 0;
    int store_breaker = 0;
    std::size_t peers = 0;
  };

  state ReadState() const;

  const config_view& config_;
  const lease_system& lease_;
  const store_client& store_;
  const peer_port& peers_;
  state last_;
};

}  // namespace hawthorndrum
