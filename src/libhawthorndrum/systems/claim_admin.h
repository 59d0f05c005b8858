/// Admin section for claims: reports them, and lets an operator settle claims that can't be
/// settled otherwise.
#pragma once

#include "ports/admin_section.h"

namespace hawthorndrum {

class claim_system;
struct claim_name;

/**
 * `GET /admin/claims`: counts, this daemon's open attempts, and the open claims of the buckets that
 * it has read. `GET /admin/claims/SERVICE/KEY`: one claim as last read. `POST /admin/claims/load`
 * `{"service","key"}` reads the claim's bucket from the store first. `POST /admin/claims/settle`
 * `{"service","key","attempt","state":"done"|"not_run"}` sets the claim's final state; it is
 * refused while the claimant is alive, unless the claim's state is unknown.
 */
class claim_admin : public admin_section {
 public:
  explicit claim_admin(claim_system& claims) : claims_(claims) {}

  std::string_view name() const override { return "claims"; }
  expected<nlohmann::json> Report(std::string_view item) const override;
  expected<nlohmann::json> Act(std::string_view verb, const nlohmann::json& arguments) override;

 private:
  nlohmann::json ReportAll() const;
  expected<nlohmann::json> Settle(const claim_name& name, const nlohmann::json& arguments);

  claim_system& claims_;
};

}  // namespace hawthorndrum
