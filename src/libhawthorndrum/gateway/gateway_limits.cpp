/// Heeds the limits that upstreams name, and shares them with the other daemons.
#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "base/hash.h"
#include "base/log_record.h"
#include "base/metrics_registry.h"
#include "gateway/gateway.h"
#include "ports/clock.h"
#include "ports/event_log.h"

namespace hawthorndrum {

namespace {

/** How long notices, which may be lost, repeat what an upstream said about its limit. */
constexpr duration kLimitReport = seconds(2);
/** A smaller change of a limit is not logged. */
constexpr double kLoggedChange = 0.2;
constexpr std::size_t kMaxLoggedValue = 64;

}  // namespace

void gateway::HeedLimit(const exchange& each, fleet_upstream& row, time_point now) {
  const answer_terms& terms = each.answer.terms;
  if (terms.unreadable_limit && !std::exchange(row.said.limited_unreadably, true)) {
    const std::string_view value = *terms.unreadable_limit;
    ports_.log->Write(log_importance::kNotable,
                      log_record("upstream_limit_unreadable")
                          .Text("upstream", row.entry.id)
                          .Text("value", value.substr(0, kMaxLoggedValue)));
  }
  if (terms.calls_per_second) {
    row.said.limit_heard_at = now;
    return SetLimit(row, terms.calls_per_second, now, "answer", now);
  }
  // Neither an answer to an earlier call nor a refusal shows that the limit has ended.
  const call_limit& limit = row.said.limit;
  if (terms.unreadable_limit || terms.not_run || !limit.is_set() ||
      each.call.sent_at <= limit.said_at())
    return;
  row.said.limit_heard_at = now;
  SetLimit(row, std::nullopt, now, "answer", now);
}

void gateway::SetLimit(fleet_upstream& row, std::optional<double> per_second, time_point said_at,
                       std::string_view source, time_point now) {
  call_limit& limit = row.said.limit;
  const std::optional<double> before = limit.per_second();
  limit.SetRank(RankFor(row), now);
  limit.Hear(per_second, said_at, now);
  const std::optional<double> after = limit.per_second();
  if (before && !after) return LogLimit(row, "ended", source);
  if (!after) return;
  if (!before || std::abs(*after - *before) > kLoggedChange * *before)
    LogLimit(row, before ? "changed" : "named", source);
}

void gateway::LogLimit(const fleet_upstream& row, std::string_view outcome,
                       std::string_view source) {
  ports_.metrics->Counter("gateway_upstream_limits_total", MetricLabel("outcome", outcome)).Add();
  ports_.log->Write(log_importance::kNotable,
                    log_record("upstream_limit")
                        .Text("upstream", row.entry.id)
                        .Text("outcome", outcome)
                        .Text("source", source)
                        .Decimal("per_second", row.said.limit.per_second().value_or(0))
                        .Number("rank", static_cast<std::int64_t>(RankFor(row).before)));
}

caller_rank gateway::RankFor(const fleet_upstream& row) const {
  caller_rank rank;
  rank.daemons = other_daemons_.size() + 1;
  const auto score = [&](const std::string& host) {
    return RendezvousScore(row.id.value(), Hash64(host));
  };
  const bool is_near = ports_.data_centre == row.entry.data_centre;
  const std::uint64_t own = score(ports_.host);
  for (const daemon_record& other : other_daemons_) {
    const bool other_near = other.data_centre == row.entry.data_centre;
    const bool first = other_near != is_near ? other_near : score(other.name) > own;
    rank.before += first ? 1 : 0;
  }
  return rank;
}

void gateway::SetDaemons(const std::vector<daemon_record>& others) {
  SetOtherDaemons(others.size());
  const auto same = [](const daemon_record& a, const daemon_record& b) {
    return a.name == b.name && a.data_centre == b.data_centre;
  };
  if (std::equal(others.begin(), others.end(), other_daemons_.begin(), other_daemons_.end(), same))
    return;
  other_daemons_ = others;
  relay_peers_.SetDaemons(others);
  const time_point now = ports_.time->Now();
  fleet_.ForEach([&](fleet_upstream& row) {
    if (row.said.limit.is_set()) row.said.limit.SetRank(RankFor(row), now);
  });
}

void gateway::ReportLimits(load_notice& notice, const fleet_upstream& row, time_point now) const {
  // Only what was said to this daemon, so that nothing is passed on in circles.
  if (!row.said.limit_heard_at || now - *row.said.limit_heard_at > kLimitReport) return;
  const call_limit& limit = row.said.limit;
  notice.limits.push_back({row.id, limit.per_second(), now - limit.said_at()});
}

}  // namespace hawthorndrum
