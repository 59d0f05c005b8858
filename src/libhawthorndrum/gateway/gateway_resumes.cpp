/// Resumes streams that began in an earlier attempt of the caller, maybe at another daemon.
#include <optional>
#include <set>
#include <utility>

#include "base/log_record.h"
#include "base/metrics_registry.h"
#include "gateway/gateway.h"
#include "origins/stream_origins.h"
#include "ports/clock.h"
#include "ports/event_log.h"

namespace hawthorndrum {

namespace {

/** Daemons that did not answer may have been cut off for a moment. */
constexpr duration kRetryOriginUnknown = milliseconds(500);
/** Bytes of a caller's header in a log line. */
constexpr std::size_t kMaxLoggedValue = 64;

}  // namespace

void gateway::Resume(arrived_request arrived, const route& matched, time_point now) {
  if (arrived.terms.resumes.empty()) {
    // Callers that do not name the attempt are served while there is one version only.
    const auto only = OnlyBuildOf(matched);
    LogOrigin(arrived.terms, only ? "only_version" : "not_named", now, now);
    if (only) return Admit(std::move(arrived), only);
    return RefuseUnplaced(arrived, 503, "stream_origin_unknown", kRetryOriginUnknown);
  }
  const stream_key key = StreamKeyOf(arrived.terms.resumes);
  if (const auto build = ports_.origins->Find(key, now)) {
    LogOrigin(arrived.terms, "own", now, now);
    return Admit(std::move(arrived), build);
  }
  resumes_.emplace(key, std::move(arrived));
  ports_.origins->Ask(key, now);
}

void gateway::OnOrigin(stream_key key, std::optional<software_build> build) {
  const time_point now = ports_.time->Now();
  const auto [first, last] = resumes_.equal_range(key);
  std::vector<arrived_request> waiting;
  for (auto it = first; it != last; ++it) waiting.push_back(std::move(it->second));
  resumes_.erase(first, last);
  for (arrived_request& each : waiting) {
    LogOrigin(each.terms, build ? "peers" : "unknown", each.at, now);
    if (build) {
      Admit(std::move(each), build);
    } else {
      RefuseUnplaced(each, 503, "stream_origin_unknown", kRetryOriginUnknown);
    }
  }
}

void gateway::DropResume(request_id id) {
  for (auto it = resumes_.begin(); it != resumes_.end(); ++it) {
    if (it->second.id != id) continue;
    resumes_.erase(it);
    return;
  }
}

std::optional<software_build> gateway::OnlyBuildOf(const route& matched) {
  std::set<software_build> builds;
  for (const weighted_service& target : matched.targets) {
    for (const fleet_upstream* row : fleet_.OfService(target.service)) builds.insert(row->build);
  }
  if (builds.size() != 1) return std::nullopt;
  return *builds.begin();
}

const weighted_service* gateway::TargetOfBuild(const route& matched, software_build build,
                                               time_point now) {
  for (const weighted_service& target : matched.targets) {
    if (HasUpstreamOf(target.service, build, now)) return &target;
  }
  return nullptr;
}

bool gateway::HasUpstreamOf(const std::string& service, software_build build, time_point now) {
  for (const fleet_upstream* row : fleet_.OfService(service)) {
    if (row->build == build && row->takes_work(now)) return true;
  }
  return false;
}

void gateway::LogOrigin(const caller_terms& terms, std::string_view source, time_point asked_at,
                        time_point now) {
  const std::string_view resumes(terms.resumes);
  const std::string_view last_event(terms.last_event_id);
  ports_.metrics->Counter("gateway_resumes_total", MetricLabel("origin", source)).Add();
  ports_.log->Write(log_importance::kNotable,
                    log_record("stream_origin")
                        .Text("request", terms.caller_id)
                        .Text("resumes", resumes.substr(0, kMaxLoggedValue))
                        .Text("last_event", last_event.substr(0, kMaxLoggedValue))
                        .Text("source", source)
                        .Number("after_ms", ToMilliseconds(now - asked_at)));
}

void gateway::RecordOrigin(exchange& each, time_point now) {
  each.build = each.call.build;
  if (each.matched->resumable) ports_.origins->Record({each.key, each.build}, now);
}

}  // namespace hawthorndrum
