/// Assembles a daemon's lease, orders and roles.
#include "systems/authority.h"

#include <utility>

namespace hawthorndrum {

authority_builder::authority_builder(object_store& store, engine_port& engines, peer_port& peers,
                                     upstream_table& upstreams, const clock& clock,
                                     random_source& random, metrics_registry& metrics,
                                     const demand_source& demand)
    : store_(store),
      engines_(engines),
      peers_(peers),
      upstreams_(upstreams),
      clock_(clock),
      random_(random),
      metrics_(metrics),
      demand_(demand) {}

authority_builder& authority_builder::DataCentre(std::string name) {
  data_centre_ = std::move(name);
  return *this;
}

authority_builder& authority_builder::Incarnation(incarnation_id self) {
  self_ = self;
  return *this;
}

authority_builder& authority_builder::Timing(lease_timing timing) {
  timing_ = timing;
  return *this;
}

authority_builder& authority_builder::Limits(order_limits limits) {
  limits_ = limits;
  return *this;
}

authority_builder& authority_builder::Roles(role_settings settings) {
  roles_ = settings;
  return *this;
}

authority authority_builder::Build() {
  authority built;
  built.lease = std::make_unique<lease_system>(store_, peers_, clock_, random_, metrics_,
                                               data_centre_, self_, timing_);
  built.marks =
      std::make_unique<planned_change_system>(peers_, upstreams_, clock_, metrics_, data_centre_);
  built.orders = std::make_unique<order_system>(*built.lease, *built.marks, store_, engines_,
                                                peers_, upstreams_, clock_, random_, metrics_,
                                                data_centre_, self_, limits_);
  built.roles = std::make_unique<role_system>(*built.orders, demand_, upstreams_, metrics_,
                                              data_centre_, roles_);
  return built;
}

}  // namespace hawthorndrum
