/// Counts and logs requests that are refused before they are read.
#include "unread_refusals.h"

#include "base/byte_budget.h"
#include "base/counter.h"
#include "base/log_record.h"
#include "base/metrics_registry.h"
#include "ports/event_log.h"

namespace hawthorndrum {

unread_refusals::unread_refusals(const byte_budget& budget, event_log& log,
                                 metrics_registry& metrics)
    : budget_(budget),
      log_(log),
      refused_(metrics.Counter("gateway_refused_total", MetricLabel("reason", "host_full"))) {}

void unread_refusals::Record(std::string_view server, std::uint64_t bytes) {
  refused_.Add();
  log_.Write(log_importance::kNotable,
             log_record("request_refused_unread")
                 .Text("server", server)
                 .Number("bytes", static_cast<std::int64_t>(bytes))
                 .Number("held_bytes", static_cast<std::int64_t>(budget_.held()))
                 .Number("limit_bytes", static_cast<std::int64_t>(budget_.limit())));
}

}  // namespace hawthorndrum
