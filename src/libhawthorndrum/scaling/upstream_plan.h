/// Decides how many upstreams of which kind each data centre should have.
///
/// Reclaimable upstreams cost a fraction, but a data centre loses all of them at once. They are
/// spread evenly, so that what is left after the loss of a data centre carries the load; a few
/// upstreams that can't be reclaimed stay in each.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "scaling/demand_history.h"
#include "scaling/fleet_outlook.h"
#include "scaling/scale_limits.h"

namespace hawthorndrum {

/** Upstreams of one kind in one data centre. */
struct kind_state {
  /** Those that take work. */
  std::uint32_t present = 0;
  /** What the platform was last told to have there. */
  std::uint32_t ordered = 0;
  /** Whether an order could be carried out there now, as far as is known. */
  bool available = true;
  /** Whether those of an order may still be starting. */
  bool starting = false;
};

struct centre_state {
  std::string name;
  kind_state lasting;
  kind_state reclaimable;
  /** How many the load is to find there; more are ordered, since some may be reclaimed. */
  std::uint32_t size = 0;

  std::uint32_t ordered() const { return lasting.ordered + reclaimable.ordered; }
};

struct plan_demand {
  service_load mean;
  service_load peak;
  /** Whether there was any load; without it, no caller notices a change. */
  bool seen = false;
  /** Whether it was observed for long enough to reduce the fleet to it. */
  bool known = false;
};

enum class scale_reason {
  /** The load needs more, or needs fewer. */
  kLoad,
  /** Cheaper ones that the platform may reclaim take over. */
  kCheaperKind,
  /** What is left can't carry the load. */
  kShortage,
  /** Ordered ones are missing. */
  kMissing,
  /** An order wasn't answered. */
  kUnanswered,
};

std::string_view NameOf(scale_reason reason);

struct scale_step {
  std::string data_centre;
  bool reclaimable = false;
  std::uint32_t before = 0;
  std::uint32_t wanted = 0;
  scale_reason reason = scale_reason::kLoad;
};

struct scale_plan {
  std::vector<scale_step> steps;
  /** The size of each data centre, in the order of the states. */
  std::vector<std::uint32_t> sizes;
  /** What the steps lead to in the end. */
  planned_fleet fleet;
};

/** Returns the size of a data centre that has so many when nothing is being exchanged. */
std::uint32_t SizeOf(const scale_limits& limits, std::size_t centres, std::uint32_t lasting,
                     std::uint32_t reclaimable);

/** Returns the upstreams that carry the load at its peaks, or in a burst beside its mean. */
double LoadOnAll(const plan_demand& demand);
/** Returns how many upstreams carry that, and the peaks after the loss of a data centre. */
double LoadWithALoss(const plan_demand& demand, std::size_t centres);

/**
 * Returns the orders that bring the fleet closer to the plan; none where it is good enough. Each
 * step keeps the upstreams that carry the load: others go only when those that replace them are
 * present, and under load in one data centre at a time.
 */
scale_plan PlanUpstreams(const scale_limits& limits, const std::vector<centre_state>& centres,
                         const plan_demand& demand, bool may_reduce);

}  // namespace hawthorndrum
