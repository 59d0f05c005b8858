/// The peer side of a daemon: links, membership and shared load reports.
#pragma once

#include <boost/core/span.hpp>
#include <memory>
#include <vector>

#include "systems/control_budget.h"
#include "systems/load_digest_system.h"
#include "systems/membership_system.h"
#include "systems/peer_router.h"
#include "systems/peers_section.h"
#include "systems/upstream_membership.h"
#include "systems/upstreams_section.h"

namespace hawthorndrum {

class peer_group_builder;

/**
 * Owns the peer systems of one daemon. Receives the transport's events, engines' load reports and
 * the host list, passes them on and counts the work as control work.
 */
class peer_group : public system, public peer_transport_listener {
 public:
  peer_router& router() { return router_; }
  membership_system& membership() { return membership_; }
  upstream_membership& listing() { return listing_; }
  load_digest_system& load() { return load_; }
  control_budget& budget() { return budget_; }
  /** Returns the admin sections "peers" and "upstreams". */
  std::vector<admin_section*> sections() { return {&peers_section_, &upstreams_section_}; }

  void OnHostList(boost::span<const host_entry> hosts);
  void OnLoadReport(const load_report& report);
  void OnLoadFailed(upstream_id upstream);

  void OnLinkUp(peer_link_id link, bool dialled) override;
  void OnLinkFrame(peer_link_id link, boost::span<const std::uint8_t> frame) override;
  void OnLinkDown(peer_link_id link) override;

  void Run(time_point now) override;

 private:
  friend class peer_group_builder;
  explicit peer_group(const peer_group_builder& parts);

  control_budget budget_;
  peer_router router_;
  membership_system membership_;
  upstream_membership listing_;
  load_digest_system load_;
  peers_section peers_section_;
  upstreams_section upstreams_section_;
};

}  // namespace hawthorndrum
