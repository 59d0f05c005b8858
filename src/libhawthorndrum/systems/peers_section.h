/// Admin view of the other daemons.
#pragma once

#include "ports/admin_section.h"
#include "ports/clock.h"
#include "systems/membership_system.h"

namespace hawthorndrum {

/**
 * Implements the admin section "peers". Items are peer addresses.
 */
class peers_section : public admin_section {
 public:
  peers_section(const membership_system& membership, const peer_router& router, const clock& time)
      : membership_(membership), router_(router), clock_(time) {}

  std::string_view name() const override { return "peers"; }
  expected<nlohmann::json> Report(std::string_view item) const override;
  /** Always returns an error; peers have no verbs. */
  expected<nlohmann::json> Act(std::string_view verb, const nlohmann::json& arguments) override;

 private:
  nlohmann::json Describe(const peer& row) const;

  const membership_system& membership_;
  const peer_router& router_;
  const clock& clock_;
};

}  // namespace hawthorndrum
