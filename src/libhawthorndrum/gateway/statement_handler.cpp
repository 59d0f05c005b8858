/// Heeds that upstreams leave, that they want no requests of this daemon for a time, and the limits
/// that they name.
#include "gateway/statement_handler.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "base/hash.h"
#include "base/log_record.h"
#include "base/metrics_registry.h"
#include "gateway/exchange.h"
#include "gateway/fleet_table.h"
#include "gateway/load_notice.h"
#include "ports/event_log.h"
#include "ports/random_source.h"

namespace hawthorndrum {

namespace {

/** No upstream goes without requests for longer than this after it has asked for time. */
constexpr duration kMaxTimeAsked = seconds(30);
/**
 * Time between two calls after the end of the time, until one is accepted. Daemons also spread
 * their first calls over it.
 */
constexpr duration kTrialInterval = milliseconds(250);
/** How long notices tell other daemons, whom the upstream may still accept, to avoid it. */
constexpr duration kTimeAskedReport = seconds(1);
/** An extension of the time by less is not logged. */
constexpr duration kLoggedExtension = seconds(1);

/** How long notices, which may be lost, repeat what an upstream said about its limit. */
constexpr duration kLimitReport = seconds(2);
/** A smaller change of a limit is not logged. */
constexpr double kLoggedChange = 0.2;
constexpr std::size_t kMaxLoggedValue = 64;

/** Returns whether the answer is of another upstream than the one that was called. */
bool IsOfAnother(const answer_terms& terms, const fleet_upstream& called) {
  return terms.is_wrong_upstream || (!terms.upstream.empty() && terms.upstream != called.entry.id);
}

}  // namespace

statement_handler::statement_handler(const gateway_ports& ports, fleet_table& fleet)
    : ports_(ports), fleet_(fleet) {}

void statement_handler::Heed(const exchange& each, fleet_upstream& row, time_point now) {
  const answer_terms& terms = each.answer.terms;
  if (IsOfAnother(terms, row)) return;
  if (terms.leaving) HeedLeaving(row, now);
  HeedLimit(each, row, now);
  if (terms.unreadable_time) HeedUnreadableTime(row, *terms.unreadable_time);
  if (terms.wants_nothing_for > duration(0)) HeedTimeAsked(row, terms.wants_nothing_for, now);
  // An answer to an earlier call does not show that the upstream wants calls again.
  const bool is_later = each.call.sent_at >= row.said.wants_nothing_until;
  if (!terms.not_run && is_later) row.said.next_call.reset();
}

void statement_handler::HeedLeaving(fleet_upstream& row, time_point now) {
  if (row.said.leaving_since) return;
  row.said.leaving_since = now;
  ports_.metrics->Counter("gateway_upstreams_leaving_total").Add();
  ports_.log->Write(log_importance::kImportant, log_record("upstream_leaving")
                                                    .Text("upstream", row.entry.id)
                                                    .Text("source", "answer")
                                                    .Number("age_ms", 0));
}

void statement_handler::HeedTimeAsked(fleet_upstream& row, duration asked, time_point now) {
  ports_.metrics->Counter("gateway_times_asked_total").Add();
  const duration heeded = std::min(asked, kMaxTimeAsked);
  upstream_statements& said = row.said;
  const time_point before = std::max(said.wants_nothing_until, now);
  said.asked_for_time_at = now;
  said.wants_nothing_until = std::max(said.wants_nothing_until, now + heeded);
  const duration spread(
      static_cast<std::int64_t>(ports_.random->Below(duration(kTrialInterval).count())));
  said.next_call = std::max(said.next_call.value_or(now), said.wants_nothing_until + spread);
  const bool begins = before == now;
  if (!begins && said.wants_nothing_until - before < kLoggedExtension) return;
  ports_.log->Write(log_importance::kNotable, log_record("upstream_wants_nothing")
                                                  .Text("upstream", row.entry.id)
                                                  .Number("asked_ms", ToMilliseconds(asked))
                                                  .Number("for_ms", ToMilliseconds(heeded)));
}

void statement_handler::HeedUnreadableTime(fleet_upstream& row, std::string_view value) {
  ports_.metrics->Counter("gateway_times_unreadable_total").Add();
  if (std::exchange(row.said.asked_unreadably, true)) return;
  ports_.log->Write(log_importance::kNotable, log_record("upstream_time_unreadable")
                                                  .Text("upstream", row.entry.id)
                                                  .Text("value", value.substr(0, kMaxLoggedValue)));
}

void statement_handler::SpaceTrials(fleet_upstream& row, time_point now) {
  if (row.said.next_call) row.said.next_call = now + kTrialInterval;
}

bool statement_handler::IsNewsForPeers(const upstream_statements& said, time_point now) {
  return said.WantsNothing(now) && now - said.asked_for_time_at < kTimeAskedReport;
}

void statement_handler::HeedLimit(const exchange& each, fleet_upstream& row, time_point now) {
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
    return HearLimit(row, terms.calls_per_second, now, "answer", now);
  }
  // Neither an answer to an earlier call nor a refusal shows that the limit has ended.
  const call_limit& limit = row.said.limit;
  if (terms.unreadable_limit || terms.not_run || !limit.is_set() ||
      each.call.sent_at <= limit.said_at())
    return;
  row.said.limit_heard_at = now;
  HearLimit(row, std::nullopt, now, "answer", now);
}

void statement_handler::HearLimit(fleet_upstream& row, std::optional<double> per_second,
                                  time_point said_at, std::string_view source, time_point now) {
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

void statement_handler::LogLimit(const fleet_upstream& row, std::string_view outcome,
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

caller_rank statement_handler::RankFor(const fleet_upstream& row) const {
  caller_rank rank;
  if (!knows_daemons_) return {0, 0};
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

bool statement_handler::SetDaemons(const std::vector<daemon_record>& others, time_point now) {
  const auto same = [](const daemon_record& a, const daemon_record& b) {
    return a.name == b.name && a.data_centre == b.data_centre;
  };
  const bool knew_daemons = std::exchange(knows_daemons_, true);
  if (knew_daemons &&
      std::equal(others.begin(), others.end(), other_daemons_.begin(), other_daemons_.end(), same))
    return false;
  other_daemons_ = others;
  fleet_.ForEach([&](fleet_upstream& row) {
    if (row.said.limit.is_set()) row.said.limit.SetRank(RankFor(row), now);
  });
  return true;
}

void statement_handler::ReportLimits(load_notice& notice, const fleet_upstream& row,
                                     time_point now) const {
  // Only what was said to this daemon, so that nothing is passed on in circles.
  if (!row.said.limit_heard_at || now - *row.said.limit_heard_at > kLimitReport) return;
  const call_limit& limit = row.said.limit;
  notice.limits.push_back({row.id, limit.per_second(), now - limit.said_at()});
}

}  // namespace hawthorndrum
