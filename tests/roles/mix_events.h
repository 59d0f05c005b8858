/// Event lists of shifting prompt-to-output mixes, and fake engines that serve them.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "systems/role_planner.h"

namespace hawthorndrum {

constexpr double kPrefillRate = 8000;
constexpr double kDecodeRate = 1000;
/** How long an engine is out of service for a change, drain included. */
constexpr int kDowntimeSeconds = 8;

/** One second's demand, and the number of engines. */
struct mix_event {
  role_demand demand;
  std::size_t engines = 20;
};

/** One case, second by second. `too_fast`: the mix shifts faster than a change pays back. */
struct mix_case {
  std::string name;
  std::vector<mix_event> events;
  /** How many lasting shifts the mix makes; 0: none, or no bound. */
  int shifts = 0;
  bool too_fast = false;
};

std::vector<mix_case> MixCases(const role_prices& prices);
/** Two hours of a mix that alternates between 30% and 50% prefill. */
mix_case AlternatingCase(int half_period);

/** Decides on the split once a second. */
class mix_policy {
 public:
  virtual ~mix_policy() = default;
  /** The number of prefill engines wanted, having seen the events up to `now`. */
  virtual std::size_t Wanted(const mix_case& mix, std::size_t now, const role_fleet& fleet) = 0;
};

/** Goodput in engine-seconds of answered work, and the changes made. */
struct mix_result {
  double goodput = 0;
  double offered = 0;
  int changes = 0;
  /** The most changes that any one engine made. */
  int most_of_one_engine = 0;

  double share() const { return offered > 0 ? goodput / offered : 1; }
};

/** Serves the case from the split `prefill`, at most two engines out of service at once. */
mix_result Serve(const mix_case& mix, std::size_t prefill, mix_policy& policy);

std::unique_ptr<mix_policy> MakeNeverPolicy();
std::unique_ptr<mix_policy> MakeThresholdPolicy();
std::unique_ptr<mix_policy> MakeOraclePolicy(const role_prices& prices);
std::unique_ptr<mix_policy> MakePlannerPolicy(const role_prices& prices);

/** The split that serves the whole case best without any change. */
std::size_t BestFixedSplit(const mix_case& mix);

}  // namespace hawthorndrum
