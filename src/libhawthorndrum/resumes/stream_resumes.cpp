/// Asks in turn this daemon, the others and the history of builds.
#include "resumes/stream_resumes.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log_record.h"
#include "base/metrics_registry.h"
#include "gateway/gateway_ports.h"
#include "origins/stream_origins.h"
#include "ports/clock.h"
#include "ports/event_log.h"
#include "resumes/build_record_port.h"
#include "resumes/change_check_port.h"
#include "resumes/resume_listener.h"

namespace hawthorndrum {

namespace {

/** Bytes of a caller's header in a log line. */
constexpr std::size_t kMaxLoggedValue = 64;

}  // namespace

void stream_resumes::Resume(arrived_request arrived, const route& matched,
                            std::shared_ptr<const gateway_config> config) {
  const time_point now = ports_.time->Now();
  waiting_request waiting{std::move(arrived), std::move(config), &matched};
  const caller_terms& terms = waiting.arrived.terms;
  if (terms.resumes.empty()) return DecideUnremembered(std::move(waiting), true);
  const stream_key key = StreamKeyOf(terms.resumes);
  if (const auto build = ports_.origins->Find(key, now))
    return Decide(std::move(waiting.arrived), build, "own");
  waiting_.emplace(key, std::move(waiting));
  ports_.origins->Ask(key, now);
}

void stream_resumes::OnOrigin(stream_key key, std::optional<software_build> build) {
  const auto [first, last] = waiting_.equal_range(key);
  std::vector<waiting_request> answered;
  for (auto it = first; it != last; ++it) answered.push_back(std::move(it->second));
  waiting_.erase(first, last);
  for (waiting_request& each : answered) {
    if (build) {
      Decide(std::move(each.arrived), build, "peers");
      continue;
    }
    DecideUnremembered(std::move(each), true);
  }
}

void stream_resumes::DecideUnremembered(waiting_request waiting, bool may_ask) {
  const time_point now = ports_.time->Now();
  const auto only = only_.Find(*waiting.matched, now);
  const bool asks = may_ask && !only && record_port_ != nullptr &&
                    only_.NeedsRecord(*waiting.matched, now) && record_port_->Request(now);
  if (asks) return waiting_for_record_.push_back(std::move(waiting));
  // A daemon that was cut off or stood still has not heard of upstreams that others use already.
  if (only && check_port_ != nullptr && !waiting.is_checked) {
    waiting_for_check_.push_back(std::move(waiting));
    if (being_checked_.empty()) Check();
    return;
  }
  const std::string_view unknown = waiting.arrived.terms.resumes.empty() ? "not_named" : "unknown";
  Decide(std::move(waiting.arrived), only, only ? "only_version" : unknown);
}

void stream_resumes::OnRecord(const settled_builds* record) {
  only_.OnRecord(record, ports_.time->Now());
  std::vector<waiting_request> answered = std::exchange(waiting_for_record_, {});
  for (waiting_request& each : answered) DecideUnremembered(std::move(each), false);
}

void stream_resumes::Check() {
  being_checked_ = std::exchange(waiting_for_check_, {});
  check_port_->Check();
}

void stream_resumes::OnChecked(const std::optional<listed_builds>& listed) {
  if (listed) {
    for (const auto& [service, build] : *listed) only_.OnListed(service, build);
  }
  std::vector<waiting_request> answered = std::exchange(being_checked_, {});
  for (waiting_request& each : answered) {
    each.is_checked = true;
    if (!listed) {
      Decide(std::move(each.arrived), std::nullopt, "not_checked");
      continue;
    }
    DecideUnremembered(std::move(each), false);
  }
  if (!waiting_for_check_.empty()) Check();
}

std::vector<arrived_request> stream_resumes::TakeAll() {
  std::vector<arrived_request> taken;
  for (auto& [key, each] : waiting_) taken.push_back(std::move(each.arrived));
  for (auto* waiting : {&waiting_for_record_, &waiting_for_check_, &being_checked_}) {
    for (waiting_request& each : *waiting) taken.push_back(std::move(each.arrived));
    waiting->clear();
  }
  waiting_.clear();
  return taken;
}

void stream_resumes::Drop(request_id id) {
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    if (it->second.arrived.id != id) continue;
    waiting_.erase(it);
    return;
  }
  const auto is_it = [id](const waiting_request& each) { return each.arrived.id == id; };
  for (auto* waiting : {&waiting_for_record_, &waiting_for_check_, &being_checked_}) {
    const auto gone = std::find_if(waiting->begin(), waiting->end(), is_it);
    if (gone != waiting->end()) waiting->erase(gone);
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
