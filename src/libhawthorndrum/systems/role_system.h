/// Plans the roles and models of a data centre's engines, and has the order system carry them out.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/counter.h"
#include "ports/admin_section.h"
#include "systems/demand_source.h"
#include "systems/order_system.h"
#include "systems/placement_planner.h"
#include "systems/role_planner.h"
#include "systems/role_settings.h"
#include "systems/system.h"
#include "systems/weight_budget.h"
#include "tables/upstream_table.h"

namespace hawthorndrum {

class metrics_registry;

/**
 * Runs at the lease's holder. Each model's engines are planned apart; an engine belongs to the
 * first needed model that it has loaded. A new holder's planners begin with no cost, so it makes no
 * change that it has not seen earned itself.
 *
 * Invariant: a change leaves every model its floor of ready engines, and both roles of a model at
 * least one ready engine that can do them.
 */
class role_system : public system, public admin_section {
 public:
  role_system(order_system& orders, const demand_source& demand, const upstream_table& upstreams,
              metrics_registry& metrics, std::string data_centre, role_settings settings);

  void Run(time_point now) override;

  std::string_view name() const override { return "roles"; }
  expected<nlohmann::json> Report(std::string_view item) const override;
  expected<nlohmann::json> Act(std::string_view verb, const nlohmann::json& arguments) override;

 private:
  /** The engines of one model. */
  struct pool {
    std::vector<const upstream*> engines;
    role_fleet fleet;
    role_demand demand;
    std::size_t ready = 0;
    std::uint32_t floor = 1;
  };

  /** What one engine of a role does in a second, in tokens; the preset until one was seen busy. */
  struct engine_rates {
    double prefill = 0;
    double decode = 0;
  };

  /** The role that an engine was told to take, until its report shows it. */
  struct role_target {
    order_id order;
    engine_role role = engine_role::kMixed;
  };

  std::map<std::string, pool> Pools(const std::vector<model_demand>& demand);
  void AddToPool(pool& pool, const upstream& engine) const;
  engine_role RoleOf(const upstream& engine) const;
  void NoteRates(const pool& pool, engine_rates& rates) const;
  void PlanRoles(const std::vector<model_demand>& demand, duration elapsed, time_point now);
  void ChangeOne(const pool& pool, std::size_t wanted, time_point now);
  const upstream* Choose(const pool& pool, engine_role from, time_point now) const;
  void PlanPlacement(const std::vector<model_demand>& demand, duration elapsed, time_point now);
  std::vector<placed_engine> PlacedEngines(time_point now) const;
  bool HasFailedLately(const upstream& engine, time_point now) const;
  bool IsReady(const upstream& engine) const;

  order_system& orders_;
  const demand_source& demand_;
  const upstream_table& upstreams_;
  std::string data_centre_;
  role_settings settings_;
  placement_planner placement_;
  weight_budget budget_;
  std::map<std::string, role_planner> planners_;
  std::map<std::string, engine_rates> rates_;
  std::map<upstream_id, role_target> targets_;
  std::map<upstream_id, time_point> changed_at_;
  time_point planned_at_;
  bool planning_ = false;

  counter& role_changes_;
  counter& loads_;
};

}  // namespace hawthorndrum
