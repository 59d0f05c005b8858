/// Setters and validation of the builder.
#include "systems/peer_group_builder.h"

#include <stdexcept>

namespace hawthorndrum {

peer_group_builder& peer_group_builder::Self(daemon_identity identity) {
  router_.self = std::move(identity);
  return *this;
}

peer_group_builder& peer_group_builder::Key(std::string key) {
  router_.key = std::move(key);
  return *this;
}

peer_group_builder& peer_group_builder::Seeds(std::vector<std::string> addresses) {
  membership_.seeds = std::move(addresses);
  return *this;
}

peer_group_builder& peer_group_builder::Transport(peer_transport& transport) {
  transport_ = &transport;
  return *this;
}

peer_group_builder& peer_group_builder::Engines(engine_port& engines) {
  engines_ = &engines;
  return *this;
}

peer_group_builder& peer_group_builder::Upstreams(upstream_table& upstreams) {
  upstreams_ = &upstreams;
  return *this;
}

peer_group_builder& peer_group_builder::Clock(const clock& time) {
  clock_ = &time;
  return *this;
}

peer_group_builder& peer_group_builder::CpuClock(const cpu_clock& cpu) {
  cpu_ = &cpu;
  return *this;
}

peer_group_builder& peer_group_builder::Random(random_source& random) {
  random_ = &random;
  return *this;
}

peer_group_builder& peer_group_builder::Metrics(metrics_registry& metrics) {
  metrics_ = &metrics;
  return *this;
}

std::unique_ptr<peer_group> peer_group_builder::Build() const {
  const bool complete = transport_ != nullptr && engines_ != nullptr && upstreams_ != nullptr &&
                        clock_ != nullptr && cpu_ != nullptr && random_ != nullptr &&
                        metrics_ != nullptr && !router_.self.address.empty() &&
                        !router_.key.empty();
  if (!complete) throw std::logic_error("peer_group_builder: a required setting is missing");
  return std::unique_ptr<peer_group>(new peer_group(*this));
}

}  // namespace hawthorndrum
