/// Pools, rate estimates and the choice of engines for planned changes.
#include "systems/role_system.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/metrics_registry.h"
#include "base/role_names.h"
#include "systems/order_journal.h"

namespace hawthorndrum {
namespace {

/** The weight of a busy engine's reported rate in each update of the estimate. */
constexpr double kRateWeight = 0.02;
/** How long no change is planned for an engine whose last order failed. */
constexpr duration kFailureBackoff = seconds(600);

std::string KeyOf(const model_use& model) { return model.name + "@" + model.version; }

/** An engine with queued work reports its capacity; one without reports a lower bound of it. */
void NoteRate(double& estimate, double reported, bool busy) {
  if (reported <= 0) return;
  if (busy) {
    estimate += kRateWeight * (reported - estimate);
  } else {
    estimate = std::max(estimate, reported);
  }
}

bool HasModel(const upstream& engine, const model_use& wanted) {
  for (const loaded_model& model : engine.report.models) {
    if (model.name == wanted.name && model.version == wanted.version) return true;
  }
  return false;
}

}  // namespace

role_system::role_system(order_system& orders, const demand_source& demand,
                         const upstream_table& upstreams, metrics_registry& metrics,
                         std::string data_centre, role_settings settings)
    : orders_(orders),
      demand_(demand),
      upstreams_(upstreams),
      data_centre_(std::move(data_centre)),
      settings_(settings),
      placement_(settings.placement),
      budget_(settings.load_pause),
      role_changes_(metrics.Counter("hawthorndrum_role_changes_total")),
      loads_(metrics.Counter("hawthorndrum_model_loads_total")) {}

void role_system::Run(time_point now) {
  if (!orders_.ready()) {
    planning_ = false;
    planners_.clear();
    targets_.clear();
    placement_ = placement_planner(settings_.placement);
    return;
  }
  if (!planning_) {
    planning_ = true;
    planned_at_ = now;
    return;
  }
  if (now - planned_at_ < settings_.plan_every) return;
  // Caps the time: a pause of the whole process must not add to the cost of the present split.
  const duration elapsed = std::min<duration>(now - planned_at_, settings_.plan_every * 2);
  planned_at_ = now;
  const std::vector<model_demand> demand = demand_.Demand();
  PlanPlacement(demand, elapsed, now);
  PlanRoles(demand, elapsed, now);
}

bool role_system::IsReady(const upstream& engine) const {
  return engine.TakesWork() && !orders_.IsChanging(engine.id);
}

engine_role role_system::RoleOf(const upstream& engine) const {
  const auto target = targets_.find(engine.id);
  const bool open = target != targets_.end() && orders_.IsChanging(engine.id);
  return open ? target->second.role : engine.report.role;
}

void role_system::AddToPool(pool& pool, const upstream& engine) const {
  pool.engines.push_back(&engine);
  if (IsReady(engine)) ++pool.ready;
  switch (RoleOf(engine)) {
    case engine_role::kPrefill:
      ++pool.fleet.prefill;
      return;
    case engine_role::kDecode:
      ++pool.fleet.decode;
      return;
    case engine_role::kMixed:
      ++pool.fleet.mixed;
      return;
  }
}

std::map<std::string, role_system::pool> role_system::Pools(
    const std::vector<model_demand>& demand) {
  std::map<std::string, pool> pools;
  for (const model_demand& entry : demand) {
    pool& pool = pools[KeyOf(entry.model)];
    pool.demand.prefill += entry.prefill_tokens_per_second;
    pool.demand.decode += entry.decode_tokens_per_second;
    pool.floor = std::max(pool.floor, entry.floor);
  }
  for (const upstream& engine : upstreams_) {
    const bool usable = engine.kind == host_kind::kEngine && engine.data_centre == data_centre_ &&
                        engine.has_report && !engine.leaving.any();
    if (!usable) continue;
    for (const model_demand& entry : demand) {
      if (!HasModel(engine, entry.model)) continue;
      AddToPool(pools[KeyOf(entry.model)], engine);
      break;
    }
  }
  for (auto& [key, pool] : pools) {
    engine_rates& rates = rates_[key];
    NoteRates(pool, rates);
    pool.fleet.prefill_rate = rates.prefill;
    pool.fleet.decode_rate = rates.decode;
  }
  return pools;
}

void role_system::NoteRates(const pool& pool, engine_rates& rates) const {
  if (rates.prefill <= 0) rates.prefill = settings_.placement.prefill_rate;
  if (rates.decode <= 0) rates.decode = settings_.placement.decode_rate;
  for (const upstream* engine : pool.engines) {
    const load_report& report = engine->report;
    const bool busy = report.queued > 0;
    if (report.role == engine_role::kPrefill) {
      NoteRate(rates.prefill, report.prefill_tokens_per_second, busy);
    } else if (report.role == engine_role::kDecode) {
      NoteRate(rates.decode, report.decode_tokens_per_second, busy);
    }
  }
}

void role_system::PlanRoles(const std::vector<model_demand>& demand, duration elapsed,
                            time_point now) {
  for (const auto& [key, pool] : Pools(demand)) {
    role_planner& planner = planners_.try_emplace(key, settings_.prices).first->second;
    planner.Observe(pool.fleet, pool.demand, elapsed);
    const std::size_t wanted = planner.WantedPrefill(pool.fleet);
    if (wanted != pool.fleet.prefill) ChangeOne(pool, wanted, now);
  }
}

void role_system::ChangeOne(const pool& pool, std::size_t wanted, time_point now) {
  const bool to_prefill = wanted > pool.fleet.prefill;
  const engine_role from = to_prefill ? engine_role::kDecode : engine_role::kPrefill;
  const engine_role to = to_prefill ? engine_role::kPrefill : engine_role::kDecode;
  if (pool.ready <= pool.floor) return;
  const upstream* engine = Choose(pool, from, now);
  if (engine == nullptr) return;
  order_request request;
  request.engine = engine->id;
  request.role = to;
  const expected<order_id> order = orders_.Propose(request);
  if (!order) return;
  targets_[engine->id] = {*order, to};
  changed_at_[engine->id] = now;
  role_changes_.Add();
}

const upstream* role_system::Choose(const pool& pool, engine_role from, time_point now) const {
  const upstream* best = nullptr;
  std::size_t able = 0;
  const auto last_change = [&](const upstream& engine) {
    const auto found = changed_at_.find(engine.id);
    return found == changed_at_.end() ? time_point() : found->second;
  };
  for (const upstream* engine : pool.engines) {
    const engine_role role = RoleOf(*engine);
    if (IsReady(*engine) && (role == from || role == engine_role::kMixed)) ++able;
    if (role != from || !IsReady(*engine) || !orders_.MayOrder(engine->id)) continue;
    if (HasFailedRecently(*engine, now)) continue;
    // Prefers the least recently changed engine, so that none is changed twice while another
    // candidate has not been changed.
    const bool better = best == nullptr || last_change(*engine) < last_change(*best) ||
                        (last_change(*engine) == last_change(*best) &&
                         engine->report.running < best->report.running);
    if (better) best = engine;
  }
  return able >= 2 ? best : nullptr;
}

bool role_system::HasFailedRecently(const upstream& engine, time_point now) const {
  if (engine.report.last_order_progress != order_progress::kFailed) return false;
  const auto found = changed_at_.find(engine.id);
  return found != changed_at_.end() && now - found->second < kFailureBackoff;
}

std::vector<placed_engine> role_system::PlacedEngines(time_point now) const {
  std::vector<placed_engine> placed;
  for (const upstream& engine : upstreams_) {
    const bool here = engine.kind == host_kind::kEngine && engine.data_centre == data_centre_;
    if (!here || !engine.has_report) continue;
    placed_engine entry;
    entry.id = engine.id;
    entry.ready = IsReady(engine);
    entry.available =
        entry.ready && !HasFailedRecently(engine, now) && orders_.MayOrder(engine.id).has_value();
    entry.running = engine.report.running;
    entry.models = engine.report.models;
    placed.push_back(std::move(entry));
  }
  return placed;
}

void role_system::PlanPlacement(const std::vector<model_demand>& demand, duration elapsed,
                                time_point now) {
  const std::vector<placed_engine> engines = PlacedEngines(now);
  placement_.Observe(engines, demand, elapsed);
  if (!budget_.MayLoad(now)) return;
  const std::optional<order_request> request = placement_.Next(engines, demand);
  if (!request || !orders_.Propose(*request)) return;
  changed_at_[request->engine] = now;
  loads_.Add();
  budget_.NoteLoad(now);
}

expected<nlohmann::json> role_system::Report(std::string_view item) const {
  if (!item.empty()) return tl::unexpected(error{error_code::kNotFound, "no such item"});
  nlohmann::json engines = nlohmann::json::array();
  for (const upstream& engine : upstreams_) {
    if (engine.kind != host_kind::kEngine || engine.data_centre != data_centre_) continue;
    engines.push_back({{"engine", engine.address},
                       {"role", RoleName(engine.report.role)},
                       {"wanted", RoleName(RoleOf(engine))},
                       {"planned_change", engine.planned_change}});
  }
  return nlohmann::json{{"plans_here", planning_},
                        {"role_change_price", settings_.prices.role_change_price},
                        {"role_changes", role_changes_.value()},
                        {"loads", loads_.value()},
                        {"engines", engines}};
}

expected<nlohmann::json> role_system::Act(std::string_view, const nlohmann::json&) {
  return tl::unexpected(error{error_code::kNotFound, "no such verb"});
}

}  // namespace hawthorndrum
