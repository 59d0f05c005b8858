/// Probes a sample of upstreams to tell a lost link of this host from lost upstreams.
#include "gateway/cut_off_detector.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/log_record.h"
#include "base/metrics_registry.h"
#include "gateway/fleet_table.h"
#include "gateway/reachability_monitor.h"
#include "ports/event_log.h"
#include "ports/random_source.h"

namespace hawthorndrum {

namespace {

/** Upstreams that are probed at first, and at most, before a service counts as cut off. */
constexpr std::size_t kFirstSample = 2;
constexpr std::size_t kFullSample = 6;
/** A failed attempt that is not older than this needs no probe. */
constexpr duration kRecentAttempt = milliseconds(300);
/** A connection opened this recently shows that a failure is the upstream's own. */
constexpr duration kFreshConnection = milliseconds(200);
/** Time between two suspicions that were wrong. */
constexpr duration kSuspicionInterval = seconds(1);
/** A suspicion whose probes have not ended by then is dropped. */
constexpr duration kSuspicionTimeout = seconds(1);
/** How often further upstreams are probed during a cut, in case the sample was lost alone. */
constexpr duration kCutProbeInterval = milliseconds(100);
constexpr std::size_t kCutProbes = 2;
/** Ticks are more frequent under load, and a run reads all upstreams while a service is cut off. */
constexpr duration kRunInterval = milliseconds(20);
/** Connections that must have succeeded before a service counts as reached again. */
constexpr std::size_t kRegained = 2;
/** After a cut, probes of the other upstreams are spread over this time. */
constexpr duration kRegainSpread = milliseconds(200);
/** Failures here, and notices of other daemons, that are older say nothing about an upstream. */
constexpr duration kRecentNews = seconds(2);

/** Whether the last attempt to connect failed, and not before that time. */
bool FailedSince(const fleet_upstream& row, time_point when) {
  return row.reachability.refused_since && row.reachability.refused_at >= when;
}

}  // namespace

cut_off_detector::cut_off_detector(fleet_table& fleet, reachability_monitor& reachability,
                                   random_source& random, event_log& log, metrics_registry& metrics)
    : fleet_(fleet), reachability_(reachability), random_(random), log_(log), metrics_(metrics) {}

std::vector<fleet_upstream*> cut_off_detector::UpstreamsOf(const std::string& service,
                                                           time_point now) const {
  std::vector<fleet_upstream*> found = fleet_.OfService(service);
  found.erase(std::remove_if(found.begin(), found.end(),
                             [now](const fleet_upstream* row) { return !row->takes_work(now); }),
              found.end());
  return found;
}

void cut_off_detector::OnConnected(fleet_upstream& row, time_point now) {
  row.reachability.connected_at = now;
  row.reachability.refused_since.reset();
}

void cut_off_detector::OnNotConnected(fleet_upstream& row, time_point now) {
  row.reachability.refused_at = now;
  if (!row.reachability.refused_since) row.reachability.refused_since = now;
  const service_state& state = services_[row.entry.service];
  if (state.current != phase::kReached || now < state.next_suspicion) return;
  for (const fleet_upstream* other : fleet_.OfService(row.entry.service)) {
    if (other->reachability.connected_at + kFreshConnection > now) return;
  }
  Suspect(row.entry.service, now);
}

void cut_off_detector::OnSilence(const std::string& service, time_point now) {
  const service_state& state = services_[service];
  if (state.current == phase::kReached && now >= state.next_suspicion) Suspect(service, now);
}

void cut_off_detector::SuspectAll(time_point now) {
  std::set<std::string> names;
  fleet_.ForEach([&](const fleet_upstream& row) { names.insert(row.entry.service); });
  for (const std::string& name : names) {
    if (services_[name].current == phase::kReached) Suspect(name, now);
  }
}

void cut_off_detector::Suspect(const std::string& service, time_point now) {
  service_state& state = services_[service];
  state.current = phase::kSuspected;
  state.since = now;
  state.sample.clear();
  if (!EnlargeSample(service, state, kFirstSample, now)) state.current = phase::kReached;
}

bool cut_off_detector::EnlargeSample(const std::string& service, service_state& state,
                                     std::size_t size, time_point now) {
  std::vector<fleet_upstream*> others = UpstreamsOf(service, now);
  others.erase(std::remove_if(others.begin(), others.end(),
                              [&](const fleet_upstream* row) {
                                return std::find(state.sample.begin(), state.sample.end(),
                                                 row->id) != state.sample.end();
                              }),
               others.end());
  const std::size_t before = state.sample.size();
  while (state.sample.size() < size && !others.empty()) {
    const auto drawn = others.begin() + static_cast<std::ptrdiff_t>(random_.Below(others.size()));
    fleet_upstream& row = **drawn;
    others.erase(drawn);
    state.sample.push_back(row.id);
    if (!FailedSince(row, state.since - kRecentAttempt)) reachability_.ProbeNow(row, now);
  }
  return state.sample.size() > before;
}

void cut_off_detector::JudgeSuspicion(const std::string& service, service_state& state,
                                      time_point now) {
  for (const fleet_upstream* row : UpstreamsOf(service, now)) {
    if (row->reachability.connected_at < state.since) continue;
    state.current = phase::kReached;
    state.next_suspicion = now + kSuspicionInterval;
    return;
  }
  const auto has_failed = [&](upstream_id id) {
    const fleet_upstream* row = fleet_.Find(id);
    return row == nullptr || FailedSince(*row, state.since - kRecentAttempt);
  };
  if (!std::all_of(state.sample.begin(), state.sample.end(), has_failed)) {
    if (now - state.since > kSuspicionTimeout) state.current = phase::kReached;
    return;
  }
  if (state.sample.size() < kFullSample && EnlargeSample(service, state, kFullSample, now)) return;
  state.current = phase::kCutOff;
  state.since = now;
  metrics_.Counter("gateway_cuts_total").Add();
  log_.Write(log_importance::kImportant,
             log_record("upstreams_cut_off")
                 .Text("service", service)
                 .Number("probed", static_cast<std::int64_t>(state.sample.size())));
  // What cut off one service usually cuts off the others.
  SuspectAll(now);
}

void cut_off_detector::ProbeSome(std::vector<fleet_upstream*> among, time_point now) {
  for (std::size_t i = 0; i < kCutProbes && !among.empty(); ++i)
    reachability_.ProbeNow(*among[random_.Below(among.size())], now);
}

void cut_off_detector::RunCutOff(const std::string& service, service_state& state, time_point now) {
  std::vector<fleet_upstream*> rows = UpstreamsOf(service, now);
  const auto connected = static_cast<std::size_t>(std::count_if(
      rows.begin(), rows.end(),
      [&](const fleet_upstream* row) { return row->reachability.connected_at >= state.since; }));
  if (connected >= std::min(kRegained, rows.size())) return End(service, state, now);
  if (now < state.next_probes) return;
  state.next_probes = now + kCutProbeInterval;
  // Those that failed are probed with a backoff, unless the links seem to be back.
  if (connected == 0) {
    rows.erase(
        std::remove_if(rows.begin(), rows.end(),
                       [](const fleet_upstream* row) { return !!row->reachability.refused_since; }),
        rows.end());
  }
  ProbeSome(std::move(rows), now);
}

void cut_off_detector::End(const std::string& service, service_state& state, time_point now) {
  log_.Write(log_importance::kImportant,
             log_record("upstreams_reached_again")
                 .Text("service", service)
                 .Number("after_ms", ToMilliseconds(now - state.since)));
  state.current = phase::kReached;
  state.since = now;
  for (fleet_upstream* row : UpstreamsOf(service, now)) {
    if (!row->reachability.refused_since) continue;
    const auto spread = static_cast<std::uint64_t>(duration(kRegainSpread).count());
    reachability_.ProbeAt(*row, now + duration(static_cast<std::int64_t>(random_.Below(spread))));
  }
}

void cut_off_detector::Run(time_point now) {
  if (now - last_run_ < kRunInterval) return;
  last_run_ = now;
  bool any = false;
  for (auto& [service, state] : services_) {
    if (state.current == phase::kSuspected) JudgeSuspicion(service, state, now);
    if (state.current == phase::kCutOff) RunCutOff(service, state, now);
    any = any || state.current == phase::kCutOff;
  }
  cut_off_from_all_ = any;
  if (!any) return;
  fleet_.ForEach([&](const fleet_upstream& row) {
    if (row.takes_work(now) && !IsCutOff(row.entry.service)) cut_off_from_all_ = false;
  });
}

bool cut_off_detector::IsCutOff(const std::string& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.current == phase::kCutOff;
}

bool cut_off_detector::IsSuspected(const std::string& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.current != phase::kReached;
}

bool cut_off_detector::PeersMayReach(const std::string& service, time_point now) const {
  if (cut_off_from_all_) return true;
  const time_point recently = now - kRecentNews;
  const std::vector<fleet_upstream*> rows = UpstreamsOf(service, now);
  return std::any_of(rows.begin(), rows.end(), [&](const fleet_upstream* row) {
    return FailedSince(*row, recently) && row->peers_heard_at > recently &&
           row->peers_heard_at > *row->reachability.refused_since;
  });
}

}  // namespace hawthorndrum
