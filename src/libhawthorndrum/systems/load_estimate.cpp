/// Estimates how long an answer takes at an upstream.
#include "systems/load_estimate.h"

#include <algorithm>
#include <cmath>

#include "systems/own_work.h"

namespace hawthorndrum {

namespace {

constexpr double kDefaultPrefillRate = 8000;
constexpr double kDefaultDecodeRate = 800;
/**
 * Other daemons keep sending requests, so a reported queue decays more slowly than the engine works
 * it off.
 */
constexpr double kReportHalfLifeSeconds = 2;
/** The assumed time that a plain service's worker needs for each open request. */
constexpr double kPlainSecondsPerRequest = 0.01;

duration FromSeconds(double time) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(time));
}

}  // namespace

load_estimate EstimateLoad(const upstream& row, const own_work& own, const work_shape& work,
                           time_point now) {
  load_estimate estimate;
  const duration lateness = own.Lateness(row.id, now);
  if (row.kind == host_kind::kService) {
    estimate.wait = FromSeconds(kPlainSecondsPerRequest * row.own_in_flight);
    estimate.first_token = estimate.wait + FromSeconds(kPlainSecondsPerRequest) + lateness;
    estimate.whole = estimate.first_token;
    estimate.is_idle = row.own_in_flight == 0;
    return estimate;
  }
  const load_report& report = row.report;
  const double prefill_rate =
      report.prefill_tokens_per_second > 0 ? report.prefill_tokens_per_second : kDefaultPrefillRate;
  const double decode_rate =
      report.decode_tokens_per_second > 0 ? report.decode_tokens_per_second : kDefaultDecodeRate;
  const double age = std::max(0.0, ToSeconds(now - row.report_time));
  const double decay = std::exp2(-age / kReportHalfLifeSeconds);
  const double reported = static_cast<double>(report.queued_prefill_tokens) * decay;
  const auto own_waiting = static_cast<double>(own.WaitingTokens(row.id, row.report_time));
  const double own_open = own.OpenSince(row.id, row.report_time);
  const double queued = report.queued * decay;
  const auto output = static_cast<double>(work.output_tokens);
  const double wait = (reported + own_waiting) / prefill_rate + queued * output / decode_rate;
  estimate.wait = FromSeconds(wait) + lateness;
  const double prefill = static_cast<double>(work.prefill_tokens) / prefill_rate;
  estimate.first_token = estimate.wait + FromSeconds(prefill);
  estimate.is_idle =
      report.running + report.queued + row.own_in_flight == 0 && report.queued_prefill_tokens == 0;
  const double batch = report.running + own_open + 1;
  const double gap = std::max(batch / decode_rate, ToSeconds(own.TokenGap(row.id, now)));
  estimate.whole = estimate.first_token + FromSeconds(output * gap);
  return estimate;
}

}  // namespace hawthorndrum
