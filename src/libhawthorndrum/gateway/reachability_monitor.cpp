/// Probes upstreams and marks them as lost or regained.
#include "gateway/reachability_monitor.h"

#include <algorithm>

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
  fleet_upstream* row = fleet_.Find(upstream);
  if (row == nullptr) return;
  reachability_state& reachability = row->reachability;
  reachability.probing = false;
  if (connected) return OnAnswer(*row, now);
  MarkLost(*row, now);
  const int doublings = std::min(reachability.failed_probes, kMaxDoublings);
  const duration backoff = std::min(kInitialProbeBackoff * (1 << doublings), kMaxProbeBackoff);
  reachability.failed_probes += 1;
  // Half of the backoff is random, so that daemons that lost an upstream together do not probe it
  // together.
  reachability.next_probe =
      now + backoff / 2 +
      duration(static_cast<std::int64_t>(random_.Below(backoff.count() / 2 + 1)));
}

void reachability_monitor::Run(time_point now) {
  for (auto it = monitored_.begin(); it != monitored_.end();) {
    fleet_upstream* row = fleet_.Find(*it);
    if (row == nullptr || !row->takes_work(now)) {
      it = monitored_.erase(it);
      continue;
    }
    if (!row->reachability.probing && now >= row->reachability.next_probe) {
      row->reachability.probing = true;
      calls_.Probe(row->id, row->entry.address);
    }
    ++it;
  }
}

}  // namespace hawthorndrum
