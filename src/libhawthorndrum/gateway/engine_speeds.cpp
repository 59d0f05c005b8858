/// Moving averages of prefill speed and slowness.
#include "gateway/engine_speeds.h"

#include <algorithm>
#include <cmath>

#include "gateway/fleet_upstream.h"

namespace hawthorndrum {

namespace {

/** Shorter prefills measure the overhead rather than the speed. */
constexpr double kMinTokens = 2000;
constexpr double kOverheadWeight = 0.05;
/** Tokens that may be queued before a prompt that measures the speed, as a share of its own. */
constexpr double kMaxQueuedShare = 0.1;
/** Slower starts are waits for a slot or for memory. */
constexpr double kMaxOverheadMs = 250;
constexpr double kSpeedQuantile = 0.5;
constexpr double kMinCertainShare = 0.5;
/** Relative change of the estimated speed with each observation, after the first few. */
constexpr double kSpeedStep = 0.05;
constexpr double kDecodeStageSpeed = 0.5;
constexpr double kIntervalWeight = 0.01;
constexpr double kSlownessWeight = 0.25;
constexpr double kMinSpeed = 1;
constexpr double kMaxSpeed = 2000;
/** Keeps one slow prefill from excluding an engine for good. */
constexpr double kMaxSlowness = 20;
/** Prefills complete out of order, so a slowness up to this is normal. */
constexpr double kToleratedSlowness = 2.5;
/** Half-life of the slowness; the decay lets an engine that recovered be tried again. */
constexpr double kHalfLifeSeconds = 3;

double StageFactor(const fleet_upstream& row) {
  return row.entry.stage == engine_stage::kDecode ? kDecodeStageSpeed : 1;
}

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
  return PrefillTokensPerMs(row.entry.service) * StageFactor(row) / EffectiveSlowness(row, now);
}

double engine_speeds::PrefillTokensPerMs(const std::string& service) const {
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? kInitialSpeed : found->second.tokens_per_ms;
}

int engine_speeds::Confidence(const std::string& service) const {
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? 0 : std::min(found->second.observations, kEnoughObservations);
}

void engine_speeds::SetReportedSpeed(const std::string& service, double tokens_per_ms) {
  if (tokens_per_ms <= 0 || Confidence(service) == kEnoughObservations) return;
  by_service_[service].tokens_per_ms = std::clamp(tokens_per_ms, kMinSpeed, kMaxSpeed);
}

void engine_speeds::ObserveInterval(const std::string& service, duration interval) {
  double& usual_ms = by_service_[service].interval_ms;
  const double sample = ToSeconds(interval) * 1000;
  usual_ms = usual_ms == 0 ? sample : usual_ms + kIntervalWeight * (sample - usual_ms);
}

duration engine_speeds::EventInterval(const std::string& service) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return duration(0);
  return duration(static_cast<std::int64_t>(found->second.interval_ms * 1000));
}

double engine_speeds::OverheadMs(const std::string& service, engine_stage stage) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return kInitialOverheadMs;
  return stage == engine_stage::kDecode ? found->second.decode_overhead_ms
                                        : found->second.prefill_overhead_ms;
}

bool engine_speeds::LeavesOut(const fleet_upstream& row, timing& known) {
  const bool all_slow = known.left_out >= kEnoughObservations && known.first_left_out != row.id;
  if (row.slowness < kToleratedSlowness || all_slow) {
    known.left_out = 0;
    return false;
  }
  if (known.left_out == 0) known.first_left_out = row.id;
  known.left_out += 1;
  return true;
}

void engine_speeds::Observe(fleet_upstream& row, const observed_prefill& prefill, duration taken,
                            time_point now) {
  const auto tokens = static_cast<double>(prefill.tokens);
  const auto queued = static_cast<double>(prefill.queued);
  timing& known = by_service_[row.entry.service];
  double& overhead_ms = OverheadOf(known, row.entry.stage);
  const double taken_ms = ToSeconds(taken) * 1000;
  const double reading_ms = std::max(1.0, taken_ms - overhead_ms);
  const double speed = known.tokens_per_ms * StageFactor(row);
  const double expected_ms = (tokens + queued) / speed;
  // A request that waits for a slot says nothing about the speed.
  if (row.all_work().running >= row.entry.slots) return;
  // Queued prompts count in full although some of their tokens are already prefilled, so an engine
  // at its usual speed can look fast. Only a prefill that took longer shows that it is slow.
  const double ratio = std::clamp(reading_ms / std::max(20.0, expected_ms), 1.0, kMaxSlowness);
  const double before = DecayedSlowness(row, now);
  row.slowness = before + kSlownessWeight * (ratio - before);
  row.slowness_at = now;
  // Urgent prompts overtake the queue, so only one that found none measures the engine.
  if (queued > kMaxQueuedShare * tokens) return;
  if (tokens < kMinTokens) {
    const double sample = std::clamp(taken_ms - expected_ms, 0.0, kMaxOverheadMs);
    overhead_ms += kOverheadWeight * (sample - overhead_ms);
    return;
  }
  // At decode engines the time to the first token includes steps of the streams there.
  if (row.entry.stage == engine_stage::kDecode) return;
  // Whether an engine still holds the shared parts is not known, so they must be the smaller part.
  const auto certain = static_cast<double>(prefill.certain_tokens);
  const auto possible = static_cast<double>(prefill.possible_tokens);
  if (certain < kMinCertainShare * possible || LeavesOut(row, known)) return;
  const double sample =
      std::clamp(std::sqrt(certain * possible) / reading_ms, kMinSpeed, kMaxSpeed);
  // The median, since an engine that was slow or had other work takes several times as long.
  known.observations += 1;
  const double step = std::max(kSpeedStep, 1.0 / known.observations);
  known.tokens_per_ms *=
      sample > known.tokens_per_ms ? 1 + step * kSpeedQuantile : 1 - step * (1 - kSpeedQuantile);
}

}  // namespace hawthorndrum
