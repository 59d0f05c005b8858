/// Estimates of the engines' prefill speed from observed prefills.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/ids.h"
#include "base/units.h"
#include "gateway/upstream_entry.h"

namespace hawthorndrum {

struct fleet_upstream;

/** A prompt that an engine has prefilled. */
struct observed_prefill {
  /** Tokens that the engine did not hold, as far as was known. */
  std::uint64_t tokens = 0;
  /** Tokens that were queued there before it. */
  std::uint64_t queued = 0;
  /** The request's own part, which no engine holds, and the whole prompt. */
  std::uint64_t certain_tokens = 0;
  std::uint64_t possible_tokens = 0;
};

/**
 * Keeps the prefill speed of each service's prefill engines, and each engine's slowness relative to
 * its stage's speed. Decode engines prefill between the steps of their streams, at half the speed.
 */
class engine_speeds {
 public:
  /** Returns the engine's prefill speed in tokens per millisecond, with its slowness applied. */
  double TokensPerMs(const fleet_upstream& row, time_point now) const;
  /** Returns the speed of the service's prefill engines in tokens per millisecond. */
  double PrefillTokensPerMs(const std::string& service) const;

  /**
   * Records that the engine took that long from the call to its first byte. A slow engine changes
   * only its own slowness, unless several engines are as slow.
   */
  void Observe(fleet_upstream& row, const observed_prefill& prefill, duration taken,
               time_point now);

  /** Returns the number of this daemon's observations, kEnoughObservations at most. */
  int Confidence(const std::string& service) const;
  /** Sets the speed that other daemons estimate; used until there are enough own observations. */
  void SetReportedSpeed(const std::string& service, double tokens_per_ms);
  /**
   * Returns the time of a prefill that does not depend on its length; at a decode engine, that
   * until the first event is generated too.
   */
  double OverheadMs(const std::string& service, engine_stage stage) const;
  /** Records the time between two events of a stream of the service. */
  void ObserveInterval(const std::string& service, duration interval);
  /** Returns the usual time between two events; zero until one was observed. */
  duration EventInterval(const std::string& service) const;

  /** Returns the slowness, decayed since the last observation; 1 if it was tolerable then. */
  static double EffectiveSlowness(const fleet_upstream& row, time_point now);

 private:
  struct timing {
    double tokens_per_ms = kInitialSpeed;
    /** Observations of the speed so far; the first ones weigh more. */
    int observations = 0;
    double interval_ms = 0;
    /** Observations in a row that were left out as those of slow engines. */
    int left_out = 0;
    /** The engine of the first of those. */
    upstream_id first_left_out;
    double prefill_overhead_ms = kInitialOverheadMs;
    double decode_overhead_ms = kInitialOverheadMs;
  };
  /** The order of magnitude of current engines, in tokens per millisecond. */
  static constexpr double kInitialSpeed = 40;
  static constexpr int kEnoughObservations = 8;
  /** The network's part, which no engine is without. */
  static constexpr double kInitialOverheadMs = 12;

  /** Returns whether the observation is left out as that of a slow engine. */
  static bool LeavesOut(const fleet_upstream& row, timing& known);
  static double& OverheadOf(timing& of_service, engine_stage stage) {
    return stage == engine_stage::kDecode ? of_service.decode_overhead_ms
                                          : of_service.prefill_overhead_ms;
  }

  std::unordered_map<std::string, timing> by_service_;
};

}  // namespace hawthorndrum
