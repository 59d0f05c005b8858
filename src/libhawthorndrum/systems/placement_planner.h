/// Decides which engine loads which model, adapter or version next.
#pragma once

#include <boost/core/span.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/units.h"
#include "systems/demand_source.h"
#include "systems/order_request.h"
#include "tables/upstream.h"

namespace hawthorndrum {

/**
 * `load_price`: engine-seconds of lost work that must accumulate before a load beyond the floor.
 * `prefill_rate`, `decode_rate`: tokens a second of one engine. `spare_share`: the share of its
 * remaining engines' capacity that a model must leave unused before one is taken from it.
 */
struct placement_prices {
  double load_price = 120;
  double prefill_rate = 8000;
  double decode_rate = 1000;
  double spare_share = 0.2;
};

/** The state of one engine that placement planning considers. */
struct placed_engine {
  upstream_id id;
  /** Ready, in the data centre, not leaving, without a recent failed order, and an order to it
   * could begin. */
  bool available = false;
  bool ready = false;
  std::uint32_t running = 0;
  std::vector<loaded_model> models;
};

/**
 * Brings every model to its floor first, then moves engines from models with spare capacity to
 * models whose shortage has cost more than a load. Adapters are loaded where their model already
 * is.
 *
 * Invariant: a proposal never takes a model below its floor of ready engines, counted without the
 * engine that is to load.
 */
class placement_planner {
 public:
  explicit placement_planner(placement_prices prices) : prices_(prices) {}

  void Observe(boost::span<const placed_engine> engines, boost::span<const model_demand> demand,
               duration elapsed);
  /** The next load or unload, the most urgent first; none if nothing needs to change. */
  std::optional<order_request> Next(boost::span<const placed_engine> engines,
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
  std::optional<order_request> LoadModel(spans engines, const std::vector<model_need>& needs,
                                         const model_need& need, bool below_floor) const;
  std::optional<order_request> LoadAdapter(spans engines, demands demand) const;
  std::optional<order_request> UnloadUnneeded(spans engines,
                                              const std::vector<model_need>& needs) const;
  bool CanSpare(const placed_engine& engine, const std::vector<model_need>& needs,
                bool below_floor) const;

  placement_prices prices_;
  /** Engine-seconds lost to a shortage, by model and version; falls while there is none. */
  std::map<std::string, double> shortage_;
};

}  // namespace hawthorndrum
