/// Builds a config_system.
#pragma once

#include <memory>
#include <string>

#include "systems/config_system.h"

namespace hawthorndrum {

/** Collects the dependencies of a config_system; all of them must outlive it. */
class config_system_builder {
 public:
  config_system_builder& Store(object_store& store);
  config_system_builder& Peers(peer_port& peers);
  config_system_builder& Clock(const clock& time);
  config_system_builder& Random(random_source& random);
  config_system_builder& Metrics(metrics_registry& metrics);
  /** This daemon's address on the peer port, under which operators see it. */
  config_system_builder& Address(std::string address);
  config_system_builder& DataCentre(std::string data_centre);

  /** Everything but the address and the data centre must be set. */
  std::unique_ptr<config_system> Build() const;

 private:
  object_store* store_ = nullptr;
  peer_port* peers_ = nullptr;
  const clock* clock_ = nullptr;
  random_source* random_ = nullptr;
  metrics_registry* metrics_ = nullptr;
  std::string address_;
  std::string data_centre_;
};

}  // namespace hawthorndrum
