/// Learning the speed of reading.
#include "gateway/engine_speeds.h"

#include <algorithm>
#include <cmath>

#include "gateway/fleet_upstream.h"

namespace hawthorndrum {

namespace {

/** Shorter readings say more of the way there than of the engine. */
constexpr std::uint64_t kFewestTokens = 2000;
/** The part of a reading that is spent on the way. */
constexpr duration kOverhead = milliseconds(12);
constexpr double kSpeedWeight = 0.05;
constexpr double kSlownessWeight = 0.25;
constexpr double kSlowest = 1;
constexpr double kFastest = 2000;
/** One slow reading must not close an engine for good. */
constexpr double kMostSlowness = 20;
/** Readings overtake each other, so that much is usual. */
constexpr double kTolerated = 2.5;
/** Slowness fades by half in this time, so that an engine that recovered is tried again. */
constexpr double kFadeSeconds = 3;

/** What is left of the slowness, tolerated or not. */
double Faded(const fleet_upstream& row, time_point now) {
  const double age = ToSeconds(now - row.slowness_at);
  return 1 + (row.slowness - 1) * std::exp2(-std::max(0.0, age) / kFadeSeconds);
}

}  // namespace

double engine_speeds::SlownessOf(const fleet_upstream& row, time_point now) {
  return row.slowness < kTolerated ? 1 : Faded(row, now);
}

double engine_speeds::Of(const fleet_upstream& row, time_point now) const {
  const auto found = by_service_.find(row.entry.service);
  speeds known = found == by_service_.end() ? speeds() : found->second;
  return SpeedOf(known, row.entry.stage) / SlownessOf(row, now);
}

void engine_speeds::Observe(fleet_upstream& row, std::uint64_t tokens, duration taken,
                            time_point now) {
  double& speed = SpeedOf(by_service_[row.entry.service], row.entry.stage);
  const double took = std::max(1.0, ToSeconds(taken - kOverhead) * 1000);
  const double expected = static_cast<double>(tokens) / speed;
  // What waits is counted whole although some of it was read already, so an engine at its usual
  // speed seems fast at times; only a reading that took longer says that it is slow.
  const double ratio = std::clamp(took / std::max(20.0, expected), 1.0, kMostSlowness);
  const double before = Faded(row, now);
  row.slowness = before + kSlownessWeight * (ratio - before);
  row.slowness_at = now;
  if (tokens < kFewestTokens || ratio > 2) return;
  const double sample = std::clamp(static_cast<double>(tokens) / took, kSlowest, kFastest);
  speed += kSpeedWeight * (sample - speed);
}

}  // namespace hawthorndrum
