/// Builds a config_system.
#include "systems/config_system_builder.h"

#include <cassert>

namespace hawthorndrum {

config_system_builder& config_system_builder::Store(object_store& store) {
  store_ = &store;
  return *this;
}

config_system_builder& config_system_builder::Peers(peer_port& peers) {
  peers_ = &peers;
  return *this;
}

config_system_builder& config_system_builder::Clock(const clock& time) {
  clock_ = &time;
  return *this;
}

config_system_builder& config_system_builder::Random(random_source& random) {
  random_ = &random;
  return *this;
}

config_system_builder& config_system_builder::Metrics(metrics_registry& metrics) {
  metrics_ = &metrics;
  return *this;
}

config_system_builder& config_system_builder::Address(std::string address) {
  address_ = std::move(address);
  return *this;
}

config_system_builder& config_system_builder::DataCentre(std::string data_centre) {
  data_centre_ = std::move(data_centre);
  return *this;
}

std::unique_ptr<config_system> config_system_builder::Build() const {
  assert(store_ && peers_ && clock_ && random_ && metrics_);
  return std::make_unique<config_system>(*store_, *peers_, *clock_, *random_, *metrics_, address_,
                                         data_centre_);
}

}  // namespace hawthorndrum
