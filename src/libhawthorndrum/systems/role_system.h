/// Plans the roles and models of a data centre's engines, and proposes the changes as orders.
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
 * Plans only at the lease's holder. Each model's engines are planned separately; an engine belongs
 * to the first needed model that it has loaded. A new holder's planners start without accumulated
 * cost, so it makes no change before it has itself observed that the change pays.
 *
 * Invariant: a change leaves every model its floor of ready engines, and each role of a model at
 * least one ready engine that can do it.
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

  /** The estimated rate of one engine in each role, in tokens a second; starts at the preset. */
  struct engine_rates {
    double prefill = 0;
    double decode = 0;
  };

  /** The role that an engine was ordered to take; applies while its change is open. */
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
  bool HasFailedRecently(const upstream& engine, time_point now) const;
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
