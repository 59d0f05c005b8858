/// How fast engines read prompts, learnt from what they did.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/units.h"
#include "gateway/upstream_entry.h"

namespace hawthorndrum {

struct fleet_upstream;

/**
 * Keeps the speed of each service's engines by stage, and each engine's slowness against it.
 */
class engine_speeds {
 public:
  /** Tokens a millisecond of the engine, its slowness included. */
  double Of(const fleet_upstream& row, time_point now) const;

  /** The engine read `tokens`, those that waited before included, in `taken`. */
  void Observe(fleet_upstream& row, std::uint64_t tokens, duration taken, time_point now);

  /** The slowness that still counts: it fades while nothing new is heard. */
  static double SlownessOf(const fleet_upstream& row, time_point now);

 private:
  struct speeds {
    double prefill = kFirstPrefill;
    double decode = kFirstDecode;
  };
  /** Tokens a millisecond before anything was learnt; the order of what today's engines do. */
  static constexpr double kFirstPrefill = 40;
  static constexpr double kFirstDecode = 20;

  static double& SpeedOf(speeds& of_service, engine_stage stage) {
    return stage == engine_stage::kPrefill ? of_service.prefill : of_service.decode;
  }

  std::unordered_map<std::string, speeds> by_service_;
};

}  // namespace hawthorndrum
