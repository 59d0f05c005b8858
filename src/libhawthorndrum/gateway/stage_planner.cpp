/// The work function over the splits, at the cost of waiting.
#include "gateway/stage_planner.h"

#include <algorithm>
#include <cmath>

namespace hawthorndrum {

namespace {

role_prices PricesOf(const stage_plan_limits& limits) {
  role_prices prices;
  prices.downtime_seconds = 0;
  prices.role_change_price = limits.change_price;
  prices.noise_margin = 1;
  prices.floor = limits.min_per_stage;
  prices.horizon_seconds = ToSeconds(limits.horizon);
  return prices;
}

}  // namespace

stage_planner::stage_planner(const stage_plan_limits& limits)
    : limits_(limits), planner_(PricesOf(limits)) {}

void stage_planner::moving_load::Add(double value, double weight) {
  mean += weight * (value - mean);
  square += weight * (value * value - square);
}

varying_load stage_planner::moving_load::load() const {
  return {mean, std::sqrt(std::max(0.0, square - mean * mean))};
}

std::size_t stage_planner::Clamped(std::size_t engines, std::size_t prefill) const {
  if (engines < 2 * limits_.min_per_stage) return engines / 2;
  const double share = limits_.max_prefill_share * static_cast<double>(engines);
  const auto most =
      std::min(static_cast<std::size_t>(std::lround(share)), engines - limits_.min_per_stage);
  return std::clamp(prefill, limits_.min_per_stage, std::max(limits_.min_per_stage, most));
}

void stage_planner::Observe(std::size_t engines, stage_load load, duration elapsed) {
  const double decay = std::exp(-ToSeconds(elapsed) / ToSeconds(limits_.averaging));
  observed_ += elapsed;
  covered_ = covered_ * decay + (1 - decay);
  const double weight = (1 - decay) / covered_;
  prefill_.Add(load.prefill, weight);
  decode_.Add(load.decode, weight);
  planner_.Observe(engines, waiting_cost(prefill_.load(), decode_.load()), elapsed);
}

std::size_t stage_planner::Wanted(std::size_t engines, std::size_t present) const {
  role_fleet fleet;
  fleet.prefill = present;
  fleet.decode = engines - present;
  return Clamped(engines, planner_.WantedPrefill(fleet));
}

std::size_t stage_planner::Initial(std::size_t engines) const {
  const double share = limits_.initial_prefill_share * static_cast<double>(engines);
  return Clamped(engines, static_cast<std::size_t>(std::lround(share)));
}

}  // namespace hawthorndrum
