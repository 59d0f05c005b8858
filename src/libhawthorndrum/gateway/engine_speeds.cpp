/// Moving averages of prefill speed and slowness.
#include "gateway/engine_speeds.h"

#include <algorithm>
#include <cmath>

#include "gateway/fleet_upstream.h"

namespace hawthorndrum {

namespace {

/** Shorter prefills measure the network rather than the engine. */
constexpr std::uint64_t kMinTokens = 2000;
/** The network's part of the time of a prefill. */
constexpr duration kOverhead = milliseconds(12);
constexpr double kSpeedWeight = 0.05;
constexpr double kSlownessWeight = 0.25;
constexpr double kMinSpeed = 1;
constexpr double kMaxSpeed = 2000;
/** Keeps one slow prefill from excluding an engine for good. */
constexpr double kMaxSlowness = 20;
/** Prefills complete out of order, so a slowness up to this is normal. */
constexpr double kToleratedSlowness = 2.5;
/** Half-life of the slowness; the decay lets an engine that recovered be tried again. */
constexpr double kHalfLifeSeconds = 3;

/** Returns the decayed slowness, without regard to the tolerated level. */
double DecayedSlowness(const fleet_upstream& row, time_point now) {
  const double age = ToSeconds(now - row.slowness_at);
  return 1 + (row.slowness - 1) * std::exp2(-std::max(0.0, age) / kHalfLifeSeconds);
}

}  // namespace

double engine_speeds::EffectiveSlowness(const fleet_upstream& row, time_point now) {
  return row.slowness < kToleratedSlowness ? 1 : DecayedSlowness(row, now);
}

double engine_speeds::TokensPerMs(const fleet_upstream& row, time_point now) const {
  const auto found = by_service_.find(row.entry.service);
  speeds known = found == by_service_.end() ? speeds() : found->second;
  return SpeedOf(known, row.entry.stage) / EffectiveSlowness(row, now);
}

void engine_speeds::Observe(fleet_upstream& row, std::uint64_t tokens, duration taken,
                            time_point now) {
  double& speed = SpeedOf(by_service_[row.entry.service], row.entry.stage);
  const double took = std::max(1.0, ToSeconds(taken - kOverhead) * 1000);
  const double expected = static_cast<double>(tokens) / speed;
  // Queued prompts count in full although some of their tokens are already prefilled, so an engine
  // at its usual speed can look fast. Only a prefill that took longer shows that it is slow.
  const double ratio = std::clamp(took / std::max(20.0, expected), 1.0, kMaxSlowness);
  const double before = DecayedSlowness(row, now);
  row.slowness = before + kSlownessWeight * (ratio - before);
  row.slowness_at = now;
  if (tokens < kMinTokens || ratio > 2) return;
  const double sample = std::clamp(static_cast<double>(tokens) / took, kMinSpeed, kMaxSpeed);
  speed += kSpeedWeight * (sample - speed);
}

}  // namespace hawthorndrum
