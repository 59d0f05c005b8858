/// Asks in turn this daemon, the others and the history of builds.
#include "resumes/stream_resumes.h"

#include <utility>
#include <vector>

#include "base/log_record.h"
#include "base/metrics_registry.h"
#include "gateway/gateway_ports.h"
#include "origins/stream_origins.h"
#include "ports/clock.h"
#include "ports/event_log.h"
#include "resumes/resume_listener.h"

namespace hawthorndrum {

namespace {

/** Bytes of a caller's header in a log line. */
constexpr std::size_t kMaxLoggedValue = 64;

}  // namespace

void stream_resumes::Resume(arrived_request arrived, const route& matched,
                            std::shared_ptr<const gateway_config> config) {
  const time_point now = ports_.time->Now();
  if (arrived.terms.resumes.empty()) {
    const auto only = only_.Find(matched, now);
    return Decide(std::move(arrived), only, only ? "only_version" : "not_named");
  }
  const stream_key key = StreamKeyOf(arrived.terms.resumes);
  if (const auto build = ports_.origins->Find(key, now))
    return Decide(std::move(arrived), build, "own");
  waiting_.emplace(key, waiting_request{std::move(arrived), std::move(config), &matched});
  ports_.origins->Ask(key, now);
}

void stream_resumes::OnOrigin(stream_key key, std::optional<software_build> build) {
  const time_point now = ports_.time->Now();
  const auto [first, last] = waiting_.equal_range(key);
  std::vector<waiting_request> answered;
  for (auto it = first; it != last; ++it) answered.push_back(std::move(it->second));
  waiting_.erase(first, last);
  for (waiting_request& each : answered) {
    if (build) {
      Decide(std::move(each.arrived), build, "peers");
      continue;
    }
    const auto only = only_.Find(*each.matched, now);
    Decide(std::move(each.arrived), only, only ? "only_version" : "unknown");
  }
}

void stream_resumes::Drop(request_id id) {
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    if (it->second.arrived.id != id) continue;
    waiting_.erase(it);
    return;
  }
}

void stream_resumes::Decide(arrived_request arrived, std::optional<software_build> build,
                            std::string_view source) {
  const std::string_view resumes(arrived.terms.resumes);
  const std::string_view last_event(arrived.terms.last_event_id);
  ports_.metrics->Counter("gateway_resumes_total", MetricLabel("origin", source)).Add();
  ports_.log->Write(log_importance::kNotable,
                    log_record("stream_origin")
                        .Text("request", arrived.terms.caller_id)
                        .Text("resumes", resumes.substr(0, kMaxLoggedValue))
                        .Text("last_event", last_event.substr(0, kMaxLoggedValue))
                        .Text("source", source)
                        .Number("after_ms", ToMilliseconds(ports_.time->Now() - arrived.at)));
  if (build) return listener_.OnResumeKnown(std::move(arrived), *build);
  listener_.OnResumeUnknown(arrived);
}

}  // namespace hawthorndrum
