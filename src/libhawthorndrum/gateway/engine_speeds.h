/// Estimates of the engines' prefill speed from observed prefills.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/units.h"
#include "gateway/upstream_entry.h"

namespace hawthorndrum {

struct fleet_upstream;

/**
 * Keeps a prefill speed per service and stage, and each engine's slowness relative to it.
 */
class engine_speeds {
 public:
  /** Returns the engine's prefill speed in tokens per millisecond, with its slowness applied. */
  double TokensPerMs(const fleet_upstream& row, time_point now) const;

  /** Records that the engine prefilled `tokens`, those queued before included, in `taken`. */
  void Observe(fleet_upstream& row, std::uint64_t tokens, duration taken, time_point now);

  /** Returns the slowness, decayed since the last observation; 1 if it was tolerable then. */
  static double EffectiveSlowness(const fleet_upstream& row, time_point now);

 private:
  struct speeds {
    double prefill = kInitialPrefill;
    double decode = kInitialDecode;
  };
  /** Initial estimates in tokens per millisecond; the order of magnitude of current engines. */
  static constexpr double kInitialPrefill = 40;
  static constexpr double kInitialDecode = 20;

  static double& SpeedOf(speeds& of_service, engine_stage stage) {
    return stage == engine_stage::kPrefill ? of_service.prefill : of_service.decode;
  }

  std::unordered_map<std::string, speeds> by_service_;
};

}  // namespace hawthorndrum
