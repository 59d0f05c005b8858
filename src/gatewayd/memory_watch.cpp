/// Logs each crossing of the thresholds once.
#include "memory_watch.h"

#include <cstdint>

#include "base/counter.h"
#include "base/log_record.h"
#include "base/metrics_registry.h"
#include "ports/event_log.h"

namespace hawthorndrum {

memory_watch::memory_watch(std::size_t limit, event_log& log, metrics_registry& metrics)
    : limit_(limit), log_(log), resident_(metrics.Counter("process_resident_bytes")) {}

void memory_watch::Observe(const memory_use& use) {
  resident_.Set(use.resident);
  if (limit_ == 0) return;
  const bool was_high = is_high_;
  is_high_ = use.resident > (was_high ? limit_ / 2 : limit_ / 4 * 3);
  if (is_high_ == was_high) return;
  log_.Write(log_importance::kImportant,
             log_record(is_high_ ? "memory_high" : "memory_normal")
                 .Number("resident_bytes", static_cast<std::int64_t>(use.resident))
                 .Number("limit_bytes", static_cast<std::int64_t>(limit_))
                 .Number("held_bytes", static_cast<std::int64_t>(use.held))
                 .Number("connections", static_cast<std::int64_t>(use.connections))
                 .Number("in_flight", static_cast<std::int64_t>(use.in_flight)));
}

}  // namespace hawthorndrum
