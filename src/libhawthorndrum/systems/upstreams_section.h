/// The admin section for upstreams: lists and drains them.
#pragma once

#include "ports/admin_section.h"
#include "ports/clock.h"
#include "systems/load_digest_system.h"
#include "systems/upstream_membership.h"

namespace hawthorndrum {

/**
 * The admin section "upstreams". An item is an upstream's address. The verbs "drain" and "undrain"
 * take {"address": "ip:port"} and apply in the whole data centre.
 */
class upstreams_section : public admin_section {
 public:
  upstreams_section(upstream_membership& membership, const load_digest_system& load,
                    const clock& time)
      : membership_(membership), load_(load), clock_(time) {}

  std::string_view name() const override { return "upstreams"; }
  expected<nlohmann::json> Report(std::string_view item) const override;
  expected<nlohmann::json> Act(std::string_view verb, const nlohmann::json& arguments) override;

 private:
  nlohmann::json Describe(const upstream& row) const;

  upstream_membership& membership_;
  const load_digest_system& load_;
  const clock& clock_;
};

}  // namespace hawthorndrum
