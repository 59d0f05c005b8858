/// Work that this daemon has sent to each upstream and that is still in flight.
#include "systems/own_work.h"

#include <algorithm>
#include <cmath>

namespace hawthorndrum {

namespace {

/** The weight of a new observation of lateness. */
constexpr double kLatenessWeight = 0.3;
constexpr double kLatenessHalfLifeSeconds = 2;
constexpr double kMaxLatenessSeconds = 30;
/** The weight of a new observation of the gap between tokens. */
constexpr double kGapWeight = 0.05;
constexpr duration kGapValidity = seconds(3);

}  // namespace

own_work::own_work(upstream_table& upstreams) : upstreams_(upstreams) {}

void own_work::Sent(upstream_id upstream, attempt_id attempt, std::uint64_t prefill_tokens,
                    time_point now) {
  upstream_work& work = work_[upstream];
  work.open.push_back({attempt, now, prefill_tokens, false});
  UpdateRow(upstream, work);
}

void own_work::Started(upstream_id upstream, attempt_id attempt, duration late_by, time_point now) {
  const auto found = work_.find(upstream);
  if (found == work_.end()) return;
  upstream_work& work = found->second;
  for (entry& one : work.open) {
    if (one.attempt == attempt) one.started = true;
  }
  const double before = ToSeconds(Lateness(upstream, now));
  const double seen = std::min(before + ToSeconds(late_by), kMaxLatenessSeconds);
  work.lateness_seconds = std::max(0.0, before + kLatenessWeight * (seen - before));
  work.lateness_time = now;
  UpdateRow(upstream, work);
}

void own_work::Token(upstream_id upstream, duration gap, time_point now) {
  const auto found = work_.find(upstream);
  if (found == work_.end()) return;
  upstream_work& work = found->second;
  const double seen = ToSeconds(gap);
  const bool is_known = TokenGap(upstream, now) > duration::zero();
  work.token_gap_seconds =
      is_known ? work.token_gap_seconds + kGapWeight * (seen - work.token_gap_seconds) : seen;
  work.token_time = now;
}

duration own_work::TokenGap(upstream_id upstream, time_point now) const {
  const auto found = work_.find(upstream);
  if (found == work_.end() || now - found->second.token_time > kGapValidity)
    return duration::zero();
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(found->second.token_gap_seconds));
}

void own_work::Ended(upstream_id upstream, attempt_id attempt) {
  const auto found = work_.find(upstream);
  if (found == work_.end()) return;
  auto& open = found->second.open;
  open.erase(std::remove_if(open.begin(), open.end(),
                            [&](const entry& one) { return one.attempt == attempt; }),
             open.end());
  UpdateRow(upstream, found->second);
  if (open.empty() && !upstreams_.Find(upstream)) work_.erase(found);
}

std::uint64_t own_work::WaitingTokens(upstream_id upstream, time_point since) const {
  const auto found = work_.find(upstream);
  if (found == work_.end()) return 0;
  std::uint64_t sum = 0;
  for (const entry& one : found->second.open) {
    if (!one.started && one.sent > since) sum += one.prefill_tokens;
  }
  return sum;
}

std::uint32_t own_work::OpenSince(upstream_id upstream, time_point since) const {
  const auto found = work_.find(upstream);
  if (found == work_.end()) return 0;
  const auto& open = found->second.open;
  return static_cast<std::uint32_t>(
      std::count_if(open.begin(), open.end(), [&](const entry& one) { return one.sent > since; }));
}

duration own_work::Lateness(upstream_id upstream, time_point now) const {
  const auto found = work_.find(upstream);
  if (found == work_.end() || found->second.lateness_seconds <= 0) return duration::zero();
  const double age = ToSeconds(now - found->second.lateness_time);
  const double decayed =
      found->second.lateness_seconds * std::exp2(-age / kLatenessHalfLifeSeconds);
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(decayed));
}

void own_work::UpdateRow(upstream_id upstream, const upstream_work& work) {
  auto* row = upstreams_.Find(upstream);
  if (!row) return;
  row->own_in_flight = static_cast<std::uint32_t>(work.open.size());
  row->own_prefill_tokens = 0;
  row->sent_since_report = 0;
  for (const entry& one : work.open) {
    if (one.started) continue;
    row->own_prefill_tokens += one.prefill_tokens;
    if (one.sent > row->report_time) row->sent_since_report += one.prefill_tokens;
  }
}

}  // namespace hawthorndrum
