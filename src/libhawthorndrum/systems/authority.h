/// A daemon's lease, orders and roles, assembled.
#pragma once

#include <memory>
#include <string>

#include "systems/lease_system.h"
#include "systems/order_system.h"
#include "systems/planned_change_system.h"
#include "systems/role_system.h"

namespace hawthorndrum {

/**
 * The systems run in the order of the members. Peer topics: kLeaseHolder to `lease`;
 * kPlannedChanges and kPlannedChangesSeen to `marks`; kAuthorityLost and kAuthorityQuery to
 * `orders`. Admin sections: `lease`, `orders`, `roles`.
 */
struct authority {
  std::unique_ptr<lease_system> lease;
  std::unique_ptr<planned_change_system> marks;
  std::unique_ptr<order_system> orders;
  std::unique_ptr<role_system> roles;

  void Run(time_point now) {
    lease->Run(now);
    marks->Run(now);
    orders->Run(now);
    roles->Run(now);
  }

  void OnPeerMessage(peer_id from, const peer_message& message) {
    lease->OnPeerMessage(from, message);
    marks->OnPeerMessage(from, message);
    orders->OnPeerMessage(from, message);
  }
};

/**
 * Builds the authority of one daemon. The constructor's arguments must outlive the result.
 */
class authority_builder {
 public:
  authority_builder(object_store& store, engine_port& engines, peer_port& peers,
                    upstream_table& upstreams, const clock& clock, random_source& random,
                    metrics_registry& metrics, const demand_source& demand);

  authority_builder& DataCentre(std::string name);
  authority_builder& Incarnation(incarnation_id self);
  authority_builder& Timing(lease_timing timing);
  authority_builder& Limits(order_limits limits);
  authority_builder& Roles(role_settings settings);

  authority Build();

 private:
  object_store& store_;
  engine_port& engines_;
  peer_port& peers_;
  upstream_table& upstreams_;
  const clock& clock_;
  random_source& random_;
  metrics_registry& metrics_;
  const demand_source& demand_;
  std::string data_centre_;
  incarnation_id self_;
  lease_timing timing_;
  order_limits limits_;
  role_settings roles_;
};

}  // namespace hawthorndrum
