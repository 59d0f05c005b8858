/// Probes upstreams and marks them as lost or regained.
#include "gateway/reach_keeper.h"

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

reach_keeper::reach_keeper(fleet_table& fleet, upstream_calls& calls, random_source& random,
                           event_log& log)
    : fleet_(fleet), calls_(calls), random_(random), log_(log) {}

void reach_keeper::MarkLost(fleet_upstream& row, time_point now) {
  monitored_.insert(row.id);
  if (row.reach.is_lost) return;
  row.reach.is_lost = true;
  row.reach.lost_at = now;
  log_.Write(log_importance::kImportant, log_record("upstream_lost")
                                             .Text("upstream", row.entry.id)
                                             .Text("address", row.entry.address)
                                             .Number("running", row.own.running));
}

void reach_keeper::OnAnswer(fleet_upstream& row, time_point now) {
  monitored_.erase(row.id);
  if (!row.reach.is_lost) return;
  log_.Write(log_importance::kImportant,
             log_record("upstream_regained")
                 .Text("upstream", row.entry.id)
                 .Number("after_ms", ToMilliseconds(now - row.reach.lost_at))
                 .Number("failed_probes", row.reach.failed_probes));
  row.reach.is_lost = false;
  row.reach.failed_probes = 0;
}

void reach_keeper::OnNotConnected(fleet_upstream& row, time_point now) {
  if (!row.reach.is_lost && !row.reach.probing) row.reach.next_probe = now;
  MarkLost(row, now);
}

void reach_keeper::OnWordOfLoss(fleet_upstream& row, time_point now) {
  reach_state& reach = row.reach;
  if (reach.is_lost || reach.probing || now < reach.next_probe + kLossReportInterval) return;
  reach.next_probe = now;
  monitored_.insert(row.id);
}

void reach_keeper::OnProbeEnded(upstream_id upstream, bool connected, time_point now) {
  fleet_upstream* row = fleet_.Find(upstream);
  if (row == nullptr) return;
  reach_state& reach = row->reach;
  reach.probing = false;
  if (connected) return OnAnswer(*row, now);
  MarkLost(*row, now);
  const int doublings = std::min(reach.failed_probes, kMaxDoublings);
  const duration backoff = std::min(kInitialProbeBackoff * (1 << doublings), kMaxProbeBackoff);
  reach.failed_probes += 1;
  // Half of the backoff is random, so that daemons that lost an upstream together do not probe it
  // together.
  reach.next_probe = now + backoff / 2 +
                     duration(static_cast<std::int64_t>(random_.Below(backoff.count() / 2 + 1)));
}

void reach_keeper::Run(time_point now) {
  for (auto it = monitored_.begin(); it != monitored_.end();) {
    fleet_upstream* row = fleet_.Find(*it);
    if (row == nullptr || !row->takes_work(now)) {
      it = monitored_.erase(it);
      continue;
    }
    if (!row->reach.probing && now >= row->reach.next_probe) {
      row->reach.probing = true;
      calls_.Probe(row->id, row->entry.address);
    }
    ++it;
  }
}

}  // namespace hawthorndrum
