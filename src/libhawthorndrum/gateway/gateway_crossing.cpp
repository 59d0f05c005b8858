/// Records which requests leave the data centre, and what calls elsewhere show.
#include <string>

#include "base/log_record.h"
#include "gateway/gateway.h"
#include "ports/event_log.h"

namespace hawthorndrum {

void gateway::CountDaemons(const std::vector<daemon_record>& others) {
  std::map<std::string, std::size_t> daemons;
  daemons[ports_.data_centre] = 1;
  for (const daemon_record& each : others) daemons[each.data_centre] += 1;
  crossing_.SetDaemons(std::move(daemons));
}

void gateway::RecordLeaving(const exchange& each, const placement& place) {
  if (place.leaves == crossing_reason::kNone) return;
  crossing_meter_.OnLeft(each.service->name, place.leaves);
  const upstream_id at = place.prefills_at ? place.prefills_at : place.runs_at;
  const fleet_upstream* row = fleet_.Find(at);
  ports_.log->Write(log_importance::kRoutine,
                    log_record("request_leaves")
                        .Text("request", each.terms.caller_id)
                        .Text("route", each.matched->name)
                        .Text("data_centre", row == nullptr ? "" : row->entry.data_centre)
                        .Text("reason", NameOf(place.leaves))
                        .Number("bytes", static_cast<std::int64_t>(RequestBytes(each))));
}

void gateway::RecordCrossingBytes(exchange& each, const fleet_upstream& row) {
  if (crossing_.IsNear(row.entry.data_centre)) return;
  crossing_meter_.OnBytes(each.service->name, RequestBytes(each) + each.call.answer_bytes);
}

void gateway::RecordLinkResult(const exchange& each, const fleet_upstream& row, duration taken,
                               time_point now) {
  duration expected = row.answer_time;
  if (each.is_engine()) {
    // Only a prefill has a time that is known in advance.
    if (each.call.reserved.unread_tokens == 0) return;
    const double expected_ms =
        static_cast<double>(each.call.queued_tokens) / speeds_.TokensPerMs(row, now) +
        speeds_.OverheadMs(row.entry.service, row.entry.stage);
    expected = duration(static_cast<std::int64_t>(expected_ms * 1000));
  }
  if (expected > duration(0))
    crossing_.OnAnswer(row.entry.service, row.entry.data_centre, expected, taken, now);
}

std::uint64_t gateway::RequestBytes(const exchange& each) {
  constexpr std::uint64_t kHeaderBytes = 512;
  return each.request.body.size() + kHeaderBytes;
}

}  // namespace hawthorndrum
