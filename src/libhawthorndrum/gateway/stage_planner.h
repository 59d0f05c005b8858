/// Decides how many engines of a service prefill and how many decode.
///
/// The load is a mix of long prompts and long answers that shifts during the day. The plan follows
/// the mix where it lasts, and holds still where it swings faster than engines can follow.
#pragma once

#include <cstddef>

#include "base/units.h"
#include "gateway/waiting_cost.h"
#include "systems/role_planner.h"

namespace hawthorndrum {

/** The work of each stage at present, in engines that it would keep fully busy. */
struct stage_load {
  double prefill = 0;
  double decode = 0;
};

/** The settings of the plan. */
struct stage_plan_limits {
  /** The share of prefill engines of a fleet that has never had any traffic. */
  double initial_prefill_share = 0.7;
  /**
   * The largest share of prefill engines. Decode engines can help out with prompts, while prefill
   * engines cannot decode, and the mix may turn within less time than a change takes.
   */
  double max_prefill_share = 0.78;
  /** The minimum number of engines in each stage, if there are at least twice as many. */
  std::size_t min_per_stage = 2;
  /** The waiting that a change of an engine's stage must save, in requests times seconds. */
  double change_price = 4;
  /** The time constant of the average load; the mix may swing faster without a change. */
  duration averaging = seconds(8);
  /** How long the past counts: a change must pay within about that time. */
  duration horizon = seconds(30);
};

/** The plan for the engines of one service, at the daemon that orders their changes. */
class stage_planner {
 public:
  explicit stage_planner(const stage_plan_limits& limits);

  /** Adds `elapsed` under that load. */
  void Observe(std::size_t engines, stage_load load, duration elapsed);
  /**
   * Returns how many of the engines should prefill, when `present` do now or will after their
   * change; `present` while no change pays.
   */
  std::size_t Wanted(std::size_t engines, std::size_t present) const;
  /** Returns the average load of each stage. */
  varying_load prefill_load() const { return prefill_.load(); }
  varying_load decode_load() const { return decode_.load(); }
  /** Returns whether the load was observed long enough to follow it. */
  bool HasObserved() const { return observed_ >= kMinObserved; }
  /** Returns how many engines should prefill before there is any load to follow. */
  std::size_t Initial(std::size_t engines) const;

 private:
  /** Less than this may be a single burst. */
  static constexpr duration kMinObserved = seconds(2);

  std::size_t Clamped(std::size_t engines, std::size_t prefill) const;

  stage_plan_limits limits_;
  role_planner planner_;
  /** Moving averages of a load and of its square. */
  struct moving_load {
    double mean = 0;
    double square = 0;

    void Add(double value, double weight);
    varying_load load() const;
  };
  moving_load prefill_;
  moving_load decode_;
  duration observed_{0};
  /** How much of the averaging time has passed, 0 to 1. */
  double covered_ = 0;
};

}  // namespace hawthorndrum
