/// Builds a peer_group.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "systems/peer_group.h"

namespace hawthorndrum {

/**
 * Collects the dependencies of a peer_group. Objects passed by reference must outlive the group.
 */
class peer_group_builder {
 public:
  peer_group_builder& Self(daemon_identity identity);
  /** Sets the secret that all daemons share. */
  peer_group_builder& Key(std::string key);
  peer_group_builder& Seeds(std::vector<std::string> addresses);
  peer_group_builder& Transport(peer_transport& transport);
  peer_group_builder& Engines(engine_port& engines);
  peer_group_builder& Upstreams(upstream_table& upstreams);
  peer_group_builder& Clock(const clock& time);
  peer_group_builder& CpuClock(const cpu_clock& cpu);
  peer_group_builder& Random(random_source& random);
  peer_group_builder& Metrics(metrics_registry& metrics);

  /** Builds the group. Throws `std::logic_error` unless everything but the seeds has been set. */
  std::unique_ptr<peer_group> Build() const;

 private:
  friend class peer_group;

  peer_router_settings router_;
  membership_settings membership_;
  peer_transport* transport_ = nullptr;
  engine_port* engines_ = nullptr;
  upstream_table* upstreams_ = nullptr;
  const clock* clock_ = nullptr;
  const cpu_clock* cpu_ = nullptr;
  random_source* random_ = nullptr;
  metrics_registry* metrics_ = nullptr;
};

}  // namespace hawthorndrum
