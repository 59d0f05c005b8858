/// Decides how many engines of one model do prefill and how many do decode.
#pragma once

#include <cstddef>
#include <vector>

#include "base/units.h"

namespace hawthorndrum {

class split_cost;

/**
 * The engines of one model: how many have each role (a change under way counts as done), and the
 * rates of one engine, in tokens a second.
 */
struct role_fleet {
  std::size_t prefill = 0;
  std::size_t decode = 0;
  std::size_t mixed = 0;
  double prefill_rate = 0;
  double decode_rate = 0;
};

/** Demand in tokens a second. */
struct role_demand {
  double prefill = 0;
  double decode = 0;
};

/**
 * The cost of a change, in engine-seconds of lost work: the time that the engine is out of service
 * (drain and change), plus a surcharge that operators set (`role_change_price`). `headroom` is the
 * share of an engine's rate that is planned with. `horizon_seconds` is the time constant with which
 * the accumulated costs decay, so that a change must pay back within about that time.
 * `noise_margin`: a change is wanted once its gain is this many times its price, so that noise near
 * the break-even point causes none. `floor` is the minimum number of engines that can do each role.
 */
struct role_prices {
  double downtime_seconds = 8;
  double role_change_price = 20;
  double headroom = 1.0;
  std::size_t floor = 1;
  double horizon_seconds = 600;
  double noise_margin = 1.2;

  double per_change() const { return downtime_seconds + role_change_price; }
  /** The accumulated gain from which a change is wanted. */
  double change_threshold() const { return per_change() * noise_margin; }
};

/**
 * Computes the work function of the split: for every number of prefill engines, the least cost at
 * which any sequence of changes could have served the demand so far and ended there. A change is
 * wanted once staying has cost more than the change, so each change has paid for its price.
 *
 * Invariants: cost_ has one entry for each split of the movable engines; neighbours differ by at
 * most change_threshold(); the least entry is 0.
 */
class role_planner {
 public:
  explicit role_planner(role_prices prices) : prices_(prices) {}

  /** Adds the cost of `elapsed` to every split of `movable` engines. */
  void Observe(std::size_t movable, const split_cost& cost, duration elapsed);
  /** Adds the work that each split loses in `elapsed` under that demand. */
  void Observe(const role_fleet& fleet, const role_demand& demand, duration elapsed);
  /** How many engines should do prefill; the present number while no change pays. */
  std::size_t WantedPrefill(const role_fleet& fleet) const;

 private:
  void Resize(std::size_t splits);
  void Relax();

  role_prices prices_;
  std::vector<double> cost_;
};

/**
 * The share of the demand that can be served, 0 to 1, when `prefill` engines do prefill, `decode`
 * decode, and `mixed` both.
 */
double ServedShare(const role_fleet& fleet, std::size_t prefill, std::size_t decode,
                   const role_demand& demand, double headroom);

/** The demand that is not served, in engines' worth of work. */
double LostWork(const role_fleet& fleet, std::size_t prefill, std::size_t decode,
                const role_demand& demand, double headroom);

}  // namespace hawthorndrum
