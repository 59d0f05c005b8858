/// Probes upstreams and marks them as lost or regained.
#include "gateway/reachability_monitor.h"

#include <algorithm>
#include <vector>

#include "base/log_record.h"
#include "gateway/fleet_table.h"
#include "gateway/upstream_calls.h"
#include "ports/event_log.h"
#include "ports/random_source.h"

namespace hawthorndrum {

namespace {

/** Delay between two probes: doubles with each failure. Probes are cheap, so it stays short. */
constexpr duration kInitialProbeBackoff = milliseconds(100);
constexpr duration kMaxProbeBackoff = milliseconds(800);
constexpr int kMaxDoublings = 3;
/** Bounds the connections and the processor time of a daemon that reaches none of its upstreams. */
constexpr std::size_t kMaxOpenProbes = 32;
/** Other daemons repeat a loss in each notice; it starts at most one probe in this time. */
constexpr duration kLossReportInterval = milliseconds(500);

}  // namespace

reachability_monitor::reachability_monitor(fleet_table& fleet, upstream_calls& calls,
                                           random_source& random, event_log& log)
    : fleet_(fleet), calls_(calls), random_(random), log_(log) {}

void reachability_monitor::MarkLost(fleet_upstream& row, time_point now) {
  monitored_.insert(row.id);
  if (row.reachability.is_lost) return;
  row.reachability.is_lost = true;
  row.reachability.lost_at = now;
  log_.Write(log_importance::kImportant, log_record("upstream_lost")
                                             .Text("upstream", row.entry.id)
                                             .Text("address", row.entry.address)
                                             .Number("running", row.own.running));
}

void reachability_monitor::OnAnswer(fleet_upstream& row, time_point now) {
  monitored_.erase(row.id);
  if (!row.reachability.is_lost) return;
  log_.Write(log_importance::kImportant,
             log_record("upstream_regained")
                 .Text("upstream", row.entry.id)
                 .Number("after_ms", ToMilliseconds(now - row.reachability.lost_at))
                 .Number("failed_probes", row.reachability.failed_probes));
  row.reachability.is_lost = false;
  row.reachability.failed_probes = 0;
}

void reachability_monitor::OnNotConnected(fleet_upstream& row, time_point now) {
  if (!row.reachability.is_lost && !row.reachability.probing) row.reachability.next_probe = now;
  MarkLost(row, now);
}

void reachability_monitor::OnLossReported(fleet_upstream& row, time_point now) {
  reachability_state& reachability = row.reachability;
  if (reachability.is_lost || reachability.probing ||
      now < reachability.next_probe + kLossReportInterval)
    return;
  reachability.next_probe = now;
  monitored_.insert(row.id);
}

void reachability_monitor::OnProbeEnded(upstream_id upstream, bool connected, time_point now) {
  if (open_probes_ > 0) open_probes_ -= 1;
  fleet_upstream* row = fleet_.Find(upstream);
  if (row == nullptr) return;
  reachability_state& reachability = row->reachability;
  reachability.probing = false;
  if (connected) return OnAnswer(*row, now);
  MarkLost(*row, now);
  const int doublings = std::min(reachability.failed_probes, kMaxDoublings);
  const duration backoff = std::min(kInitialProbeBackoff * (1 << doublings), kMaxProbeBackoff);
  reachability.failed_probes += 1;
  ProbeAfter(*row, backoff, now);
}

void reachability_monitor::OnProbeNotTried(upstream_id upstream, time_point now) {
  if (open_probes_ > 0) open_probes_ -= 1;
  fleet_upstream* row = fleet_.Find(upstream);
  if (row == nullptr) return;
  row->reachability.probing = false;
  ProbeAfter(*row, kMaxProbeBackoff, now);
}

void reachability_monitor::ProbeAfter(fleet_upstream& row, duration backoff, time_point now) {
  // Daemons that lost an upstream together do not probe it together.
  row.reachability.next_probe =
      now + backoff / 2 +
      duration(static_cast<std::int64_t>(random_.Below(backoff.count() / 2 + 1)));
}

void reachability_monitor::ProbeAt(fleet_upstream& row, time_point when) {
  if (row.reachability.probing) return;
  row.reachability.next_probe = std::min(row.reachability.next_probe, when);
  if (!row.reachability.is_lost) row.reachability.next_probe = when;
  monitored_.insert(row.id);
}

void reachability_monitor::ProbeNow(fleet_upstream& row, time_point now) {
  ProbeAt(row, now);
  if (!row.reachability.probing && open_probes_ < kMaxOpenProbes) StartProbe(row);
}

void reachability_monitor::StartProbe(fleet_upstream& row) {
  row.reachability.probing = true;
  open_probes_ += 1;
  calls_.Probe(row.id, row.entry.address);
}

void reachability_monitor::Run(time_point now) {
  // Starts after the last probed upstream, so that each gets its turn when too many are lost.
  std::vector<upstream_id> order(monitored_.upper_bound(last_probed_), monitored_.end());
  order.insert(order.end(), monitored_.begin(), monitored_.upper_bound(last_probed_));
  for (const upstream_id id : order) {
    fleet_upstream* row = fleet_.Find(id);
    if (row == nullptr || !row->takes_work(now)) {
      monitored_.erase(id);
      continue;
    }
    if (row->reachability.probing || now < row->reachability.next_probe) continue;
    if (open_probes_ >= kMaxOpenProbes) continue;
    last_probed_ = id;
    StartProbe(*row);
  }
}

}  // namespace hawthorndrum
