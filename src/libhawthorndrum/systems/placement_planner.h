/// Decides which engine loads which model, adapter or version next.
#pragma once

#include <boost/core/span.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/units.h"
#include "systems/demand_source.h"
#include "systems/order_wish.h"
#include "tables/upstream.h"

namespace hawthorndrum {

/**
 * `load_price`: engine-seconds of lost work that a load beyond the floor must have been earned by.
 * `prefill_rate`, `decode_rate`: tokens a second of one engine. `spare_share`: how much of its
 * engines' work a model must leave unused before it gives one away.
 */
struct placement_prices {
  double load_price = 120;
  double prefill_rate = 8000;
  double decode_rate = 1000;
  double spare_share = 0.2;
};

/** One engine as the placement sees it. */
struct placed_engine {
  upstream_id id;
  /** Ready, in the data centre, not leaving, and an order to it could begin. */
  bool available = false;
  bool ready = false;
  std::uint32_t running = 0;
  std::vector<loaded_model> models;
};

/**
 * Keeps every model at its floor first, then moves engines from models with work to spare to models
 * whose lack has cost more than a load. Adapters are loaded where their model already is.
 *
 * Invariant: a proposal never takes a model below its floor of ready engines, counted without the
 * engine that is to load.
 */
class placement_planner {
 public:
  explicit placement_planner(placement_prices prices) : prices_(prices) {}

  void Observe(boost::span<const placed_engine> engines, boost::span<const model_demand> demand,
               duration elapsed);
  /** The next load or unload, the most pressing first; none when all is well. */
  std::optional<order_wish> Next(boost::span<const placed_engine> engines,
                                 boost::span<const model_demand> demand) const;

 private:
  using spans = boost::span<const placed_engine>;
  using demands = boost::span<const model_demand>;

  /** Demand of one model and version over all its adapters. */
  struct model_need {
    std::string name;
    std::string version;
    double work = 0;
    std::uint32_t floor = 0;
    std::size_t ready = 0;
    /** Ready engines, one with n needed models counted as 1/n. */
    double share = 0;
  };

  std::vector<model_need> Needs(spans engines, demands demand) const;
  std::optional<order_wish> LoadModel(spans engines, const std::vector<model_need>& needs,
                                      const model_need& need, bool below_floor) const;
  std::optional<order_wish> LoadAdapter(spans engines, demands demand) const;
  std::optional<order_wish> UnloadLeftover(spans engines,
                                           const std::vector<model_need>& needs) const;
  bool MayGive(const placed_engine& engine, const std::vector<model_need>& needs,
               bool below_floor) const;

  placement_prices prices_;
  /** Engine-seconds lost for want of engines, by model and version; falls while there are enough.
   */
  std::map<std::string, double> lack_;
};

}  // namespace hawthorndrum
