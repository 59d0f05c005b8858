/// The work function over the splits of a model's engines.
#include "systems/role_planner.h"

#include <algorithm>
#include <cmath>

#include "systems/split_cost.h"

namespace hawthorndrum {
namespace {

/** The share of a mixed engine's time that goes into work; the rest is lost to switching. */
constexpr double kMixedEfficiency = 0.85;
constexpr int kBisections = 24;
/** Engine-seconds below which two costs count as equal. */
constexpr double kEqualCost = 1e-6;

double Work(double tokens, double rate) { return rate > 0 ? tokens / rate : 0; }

/** The engines' worth of work that is lost under a demand. */
class lost_work_cost : public split_cost {
 public:
  lost_work_cost(const role_fleet& fleet, const role_demand& demand, double headroom)
      : fleet_(fleet), demand_(demand), headroom_(headroom) {}

  double PerSecond(std::size_t prefill, std::size_t decode) const override {
    return LostWork(fleet_, prefill, decode, demand_, headroom_);
  }

 private:
  const role_fleet& fleet_;
  const role_demand& demand_;
  double headroom_;
};

}  // namespace

double ServedShare(const role_fleet& fleet, std::size_t prefill, std::size_t decode,
                   const role_demand& demand, double headroom) {
  const double prefill_work = Work(demand.prefill, fleet.prefill_rate);
  const double decode_work = Work(demand.decode, fleet.decode_rate);
  const double prefill_capacity = headroom * static_cast<double>(prefill);
  const double decode_capacity = headroom * static_cast<double>(decode);
  const double mixed_capacity = headroom * kMixedEfficiency * static_cast<double>(fleet.mixed);
  const auto fits = [&](double share) {
    const double excess = std::max(0.0, share * prefill_work - prefill_capacity) +
                          std::max(0.0, share * decode_work - decode_capacity);
    return excess <= mixed_capacity;
  };
  if (fits(1)) return 1;
  double low = 0;
  double high = 1;
  for (int i = 0; i < kBisections; ++i) {
    const double middle = (low + high) / 2;
    (fits(middle) ? low : high) = middle;
  }
  return low;
}

double LostWork(const role_fleet& fleet, std::size_t prefill, std::size_t decode,
                const role_demand& demand, double headroom) {
  const double work =
      Work(demand.prefill, fleet.prefill_rate) + Work(demand.decode, fleet.decode_rate);
  return work * (1 - ServedShare(fleet, prefill, decode, demand, headroom));
}

void role_planner::Observe(const role_fleet& fleet, const role_demand& demand, duration elapsed) {
  Observe(fleet.prefill + fleet.decode, lost_work_cost(fleet, demand, prices_.headroom), elapsed);
}

void role_planner::Observe(std::size_t movable, const split_cost& cost, duration elapsed) {
  Resize(movable + 1);
  const double decay = std::exp(-ToSeconds(elapsed) / prices_.horizon_seconds);
  for (std::size_t prefill = 0; prefill <= movable; ++prefill) {
    cost_[prefill] *= decay;
    cost_[prefill] += ToSeconds(elapsed) * cost.PerSecond(prefill, movable - prefill);
  }
  Relax();
}

void role_planner::Resize(std::size_t splits) {
  if (cost_.empty()) cost_.assign(1, 0.0);
  while (cost_.size() > splits) {
    // An engine was lost: each split results from the loss of a decode or of a prefill engine.
    for (std::size_t i = 0; i + 1 < cost_.size(); ++i) cost_[i] = std::min(cost_[i], cost_[i + 1]);
    cost_.pop_back();
  }
  while (cost_.size() < splits) cost_.push_back(cost_.back());
}

void role_planner::Relax() {
  const double price = prices_.change_threshold();
  for (std::size_t i = 1; i < cost_.size(); ++i) {
    cost_[i] = std::min(cost_[i], cost_[i - 1] + price);
  }
  for (std::size_t i = cost_.size() - 1; i-- > 0;) {
    cost_[i] = std::min(cost_[i], cost_[i + 1] + price);
  }
  const double least = *std::min_element(cost_.begin(), cost_.end());
  for (double& cost : cost_) cost -= least;
}

std::size_t role_planner::WantedPrefill(const role_fleet& fleet) const {
  const std::size_t movable = fleet.prefill + fleet.decode;
  if (cost_.size() != movable + 1) return fleet.prefill;
  const std::size_t floor = fleet.mixed > 0 ? 0 : prices_.floor;
  if (movable < 2 * floor) return fleet.prefill;
  std::size_t wanted = fleet.prefill;
  for (std::size_t split = floor; split + floor <= movable; ++split) {
    const std::size_t changes =
        split > fleet.prefill ? split - fleet.prefill : fleet.prefill - split;
    const double gain = cost_[fleet.prefill] - cost_[split];
    const double price = prices_.change_threshold() * static_cast<double>(changes);
    if (gain + kEqualCost < price) continue;
    if (cost_[split] + kEqualCost < cost_[wanted]) wanted = split;
  }
  return wanted;
}

}  // namespace hawthorndrum
