/// Placement of callers' requests, refusals and notices.
#include "gateway/gateway.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "base/log_record.h"
#include "base/metrics_registry.h"
#include "gateway/gateway_meters.h"
#include "gateway/time_asked.h"
#include "gateway/upstream_calls.h"
#include "ports/caller_port.h"
#include "ports/clock.h"
#include "ports/event_log.h"
#include "ports/random_source.h"
#include "relay/relay_headers.h"

namespace hawthorndrum {

namespace {

/** Retry-After of refusals for lack of configuration or upstreams. */
constexpr duration kRetryUnavailable = milliseconds(500);
/** Retry-After of requests that crash upstreams. */
constexpr duration kRetryConvicted = seconds(30);
constexpr duration kSweepPeriod = milliseconds(500);
/** Ticks are at most 100 ms apart unless the loop or the whole process was held up. */
constexpr duration kLateTick = milliseconds(300);
std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

std::string_view WithoutPort(std::string_view host) { return host.substr(0, host.find(':')); }

/** Returns the shared parts of the prompt and the whole request. */
std::vector<suspect> SuspectsOf(const http_request& request, const std::optional<prompt>& asked) {
  std::vector<suspect> suspects;
  const std::size_t shared = asked ? asked->parts.size() - 1 : 0;
  for (std::size_t i = 0; i < shared; ++i) {
    const auto depth = static_cast<std::uint8_t>(i);
    suspects.push_back({suspect_id(Hash64("prompt part", asked->parts[i].id)), depth});
  }
  const std::uint64_t whole = Hash64(request.body, Hash64(request.target, Hash64(request.method)));
  suspects.push_back({suspect_id(whole), suspect::kRequestDepth});
  return suspects;
}

}  // namespace

gateway::gateway(const gateway_ports& ports)
    : ports_(ports),
      crossing_(ports.crossing, ports.data_centre, *ports.random),
      crossing_meter_(*ports.metrics),
      engines_(fleet_, speeds_, *ports.random, crossing_),
      services_(fleet_, crossing_),
      allowance_(ports.retries),
      reachability_(fleet_, *ports.upstreams, *ports.random, *ports.log),
      cut_off_(fleet_, reachability_, *ports.random, *ports.log, *ports.metrics),
      relay_peers_(ports.host, *ports.random),
      peers_(fleet_, reachability_, ports.incarnation, ports.data_centre),
      statements_(ports_, fleet_),
      crash_recorder_(fleet_, *ports.crashes),
      notices_(ports_, fleet_, cut_off_, statements_, demand_, speeds_),
      flow_(ports.flow, ports.budget),
      resumes_(ports_, fleet_, *this) {}

gateway::~gateway() = default;

void gateway::SetConfig(std::shared_ptr<const gateway_config> config) {
  if (config->version <= config_version()) {
    if (config->version == config_version()) return;
    ports_.log->Write(log_importance::kImportant,
                      log_record("config_passed_over")
                          .Number("version", static_cast<std::int64_t>(config->version))
                          .Number("in_force", static_cast<std::int64_t>(config_version())));
    return;
  }
  ports_.log->Write(log_importance::kImportant,
                    log_record("config_in_force")
                        .Number("version", static_cast<std::int64_t>(config->version))
                        .Number("before", static_cast<std::int64_t>(config_version()))
                        .Number("routes", static_cast<std::int64_t>(config->routes.size())));
  config_ = std::move(config);
  resumes_.only().OnConfig(*config_, ports_.time->Now());
}

void gateway::SetDaemons(const std::vector<daemon_record>& others) {
  CountDaemons(others);
  if (statements_.SetDaemons(others, ports_.time->Now())) relay_peers_.SetDaemons(others);
}

void gateway::OnRequest(request_id id, http_request request) {
  const time_point now = ports_.time->Now();
  caller_terms terms = ports_.dialect->TakeCallerTerms(request);
  arrived_request arrived{id, std::move(request), std::move(terms), now};
  if (!is_ready()) return RefuseUnplaced(arrived, 503, kNotStarted, kRetryUnavailable);
  if (!flow_.MayTake(arrived.request))
    return RefuseUnplaced(arrived, 503, kHostFull, kRetryUnavailable);
  const caller_terms& asked = arrived.terms;
  const route* matched =
      config_->FindRoute(WithoutPort(asked.host), PathOf(arrived.request.target));
  const bool has_events = !asked.last_event_id.empty() || !asked.resumes.empty();
  const bool resumes = matched != nullptr && matched->resumable && has_events;
  if (resumes && !Identify(arrived, *matched)) return;
  if (resumes) return resumes_.Resume(std::move(arrived), *matched, config_);
  Admit(std::move(arrived), std::nullopt);
}

void gateway::Admit(arrived_request arrived, std::optional<software_build> build) {
  const time_point now = ports_.time->Now();
  const std::string_view host = WithoutPort(arrived.terms.host);
  const route* matched = config_->FindRoute(host, PathOf(arrived.request.target));
  if (matched == nullptr) return RefuseRouteless(arrived);
  const auto caller = Identify(arrived, *matched);
  if (!caller || RefusedByStop(arrived, *matched)) return;
  const weighted_service* target =
      build ? TargetOfBuild(*matched, *build, now) : &PickTarget(*matched);
  exchange& each = exchanges_[arrived.id];
  each.id = arrived.id;
  each.from_peer = arrived.relayed.has_value();
  if (arrived.relayed) {
    each.runs = arrived.relayed->runs;
    each.earned = arrived.relayed->earned;
  }
  each.request = std::move(arrived.request);
  flow_.Hold(each.request);
  each.terms = std::move(arrived.terms);
  SetTeam(each, *caller, *matched);
  each.config = config_;
  each.matched = matched;
  each.suspects = SuspectsOf(each.request, each.terms.asked);
  each.key = StreamKeyOf(each.terms.resumes.empty() ? each.terms.caller_id : each.terms.resumes);
  each.build = build.value_or(software_build());
  each.arrived = arrived.at;
  const duration limit = each.terms.time_limit.value_or(matched->timeout);
  each.deadline = arrived.at + std::min(limit, matched->timeout);
  MetersOf(*matched).requests.Add();
  if (target == nullptr) return Refuse(each, {"no_upstream_of_version", kRetryUnavailable});
  each.service = config_->FindService(target->service);
  if (each.service == nullptr) return Refuse(each, {"no_service", kRetryUnavailable});
  if (ShouldPassOn(each, now) && PassOn(each, now)) return;
  // A request that is declined here earns retries at the daemon that serves it.
  if (!each.from_peer) EarnRetries(each, now);
  const auto place = Place(each, now);
  if (const auto refused = RefusedByShare(each, place, now)) return Refuse(each, *refused);
  if (!place) return Refuse(each, place.error());
  EarnRetries(each, now);
  Send(each, *place, now);
}

void gateway::EarnRetries(exchange& each, time_point now) {
  if (!std::exchange(each.earned, true)) allowance_.Earn(each.service->name, now);
}

const weighted_service& gateway::PickTarget(const route& matched) {
  double sum = 0;
  for (const weighted_service& target : matched.targets) sum += target.weight;
  double drawn = matched.targets.size() > 1 ? ports_.random->Fraction() * sum : 0;
  for (const weighted_service& target : matched.targets) {
    drawn -= target.weight;
    if (drawn < 0) return target;
  }
  return matched.targets.front();
}

placement_query gateway::QueryFor(const exchange& each, time_point now) const {
  placement_query query;
  query.service = each.service;
  query.asked = each.terms.asked ? &*each.terms.asked : nullptr;
  query.tried = &each.tried;
  query.failure_is_final = !each.matched->is_idempotent();
  query.is_prefilled = each.handle.has_value();
  if (query.is_prefilled) query.prefilled_at = fleet_.Find(each.prefilled_by);
  query.may_split = each.may_split && !query.is_prefilled;
  query.build = each.build;
  // A request that has been sent already, or resumes a stream, is not refused for being late: the
  // work done so far would be lost.
  if (each.call.sent_at == time_point() && !each.build) query.objective = each.matched->objective;
  query.longest_pause = each.matched->longest_pause;
  query.request_bytes = static_cast<double>(RequestBytes(each));
  query.answer_bytes = crossing_meter_.AnswerBytes(each.matched->name);
  query.time_left = each.TimeLeft(now);
  return query;
}

tl::expected<placement, placement_failure> gateway::Choose(const exchange& each,
                                                           const placement_query& query,
                                                           time_point now) {
  if (crash_recorder_.CrashesUpstreams(each, now))
    return tl::make_unexpected(placement_failure{kCrashesUpstreams, kRetryConvicted});
  auto place = each.is_engine() ? engines_.Choose(query, now) : services_.Choose(query, now);
  if (!place) place = tl::make_unexpected(ExplainFailure(each, place.error(), now));
  return place;
}

tl::expected<placement, placement_failure> gateway::Place(const exchange& each, time_point now) {
  return Choose(each, QueryFor(each, now), now);
}

placement_failure gateway::ExplainFailure(const exchange& each, const placement_failure& failure,
                                          time_point now) {
  const auto wanted = EarliestWanted(fleet_, QueryFor(each, now), now);
  if (!wanted) return failure;
  return {kUpstreamsWantNothing, wanted->at - now, wanted->id};
}

bool gateway::CannotBePlacedInTime(const exchange& each, time_point now) {
  const auto wanted = EarliestWanted(fleet_, QueryFor(each, now), now);
  return wanted && wanted->at + exchange::kMinTimeForAttempt > each.deadline;
}

void gateway::Send(exchange& each, const placement& place, time_point now) {
  RecordLeaving(each, place);
  if (place.prefills_at) return SendPrefill(each, place, now);
  SendRun(each, place.runs_at, place.unread_tokens, place.expected, now);
}

http_answer gateway::ProblemAnswer(int status, std::string_view reason,
                                   duration retry_after) const {
  http_answer answer;
  answer.status = status;
  answer.headers.push_back({"Content-Type", "application/problem+json"});
  if (retry_after > duration(0)) {
    // Jitter, so that callers refused at the same time do not retry at the same time.
    const double spread = 1 + 0.5 * ports_.random->Fraction();
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", ToSeconds(retry_after) * spread);
    answer.headers.push_back({"Retry-After", text});
  }
  if (status == 401) answer.headers.push_back({"WWW-Authenticate", "ApiKey"});
  const bool not_run = status == 503 || status == 404 || status == 401;
  const std::string_view outcome = not_run ? "not_run" : "unknown";
  answer.body = "{\"title\":\"" + std::string(reason) + "\",\"status\":" + std::to_string(status) +
                ",\"outcome\":\"" + std::string(outcome) + "\"}";
  return answer;
}

void gateway::RefuseUnplaced(const arrived_request& arrived, int status, std::string_view reason,
                             duration retry_after) {
  ports_.log->Write(log_importance::kNotable,
                    log_record("request_refused")
                        .Text("request", arrived.terms.caller_id)
                        .Text("reason", reason)
                        .Text("host", arrived.terms.host)
                        .Number("status", status)
                        .Number("config", static_cast<std::int64_t>(config_version()))
                        .Flag("fleet_known", fleet_known_));
  ports_.metrics->Counter("gateway_refused_total", MetricLabel("reason", reason)).Add();
  http_answer answer = ProblemAnswer(status, reason, retry_after);
  // Without a route: the daemon that passed it on may know a newer configuration.
  const bool is_unavailable =
      reason == kNotStarted || reason == kRelayFull || reason == kHostFull || reason == kStopping;
  const relay_outcome outcome =
      is_unavailable ? relay_outcome::kUnavailable : relay_outcome::kDeclined;
  if (arrived.relayed) SetRelayAnswer({outcome, {}}, answer.headers);
  ports_.callers->Answer(arrived.id, std::move(answer));
}

void gateway::Refuse(exchange& each, const placement_failure& why) {
  const time_point now = ports_.time->Now();
  if (IsForLackOfUpstreams(why.reason) && PassOn(each, now)) return;
  DropHandle(each);
  if (MayWait(each, now)) return Wait(each, why.reason, now);
  // The caller has part of a stream; a refusal must not be appended to it.
  if (each.head_sent) return AbortStream(each);
  // "Not run" is answered only for requests that certainly never ran.
  if (each.runs > 0) return FailUnknown(each, why.reason, 502);
  ports_.metrics->Counter("gateway_refused_total", MetricLabel("reason", why.reason)).Add();
  AnswerCaller(each, ProblemAnswer(503, why.reason, why.retry_after), OutcomeOf(each, why.reason));
  const fleet_upstream* first_wanted = fleet_.Find(why.first_wanted);
  ports_.log->Write(log_importance::kNotable,
                    log_record("request_refused")
                        .Text("request", each.terms.caller_id)
                        .Text("reason", why.reason)
                        .Text("route", each.matched->name)
                        .Text("upstream", first_wanted == nullptr ? "" : first_wanted->entry.id)
                        .Number("status", 503)
                        .Number("retry_after_ms", ToMilliseconds(why.retry_after))
                        .Number("left_ms", ToMilliseconds(each.TimeLeft(now)))
                        .Text("suspect", crash_recorder_.ConvictedSuspect(each, now))
                        .Number("refusals", each.refusals)
                        .Number("tried", static_cast<std::int64_t>(each.tried.size()))
                        .Number("config", static_cast<std::int64_t>(each.config->version)));
  Close(each, "refused", 503);
}

void gateway::OnNotice(const load_notice& notice) {
  const time_point now = ports_.time->Now();
  peers_.OnNotice(notice, now);
  if (notice.sender == ports_.incarnation) return;
  for (const reported_limit& each : notice.limits) {
    fleet_upstream* row = fleet_.Find(each.upstream);
    if (row != nullptr) statements_.HearLimit(*row, each.per_second, now - each.age, "peer", now);
  }
}

load_notice gateway::MakeNotice() {
  load_notice notice = notices_.Write(config_.get(), ports_.time->Now());
  notice.fleet_revision = fleet_revision_;
  peers_.RecordOwnNotice(notice);
  return notice;
}

double gateway::PrefillLoad(const std::string& service, time_point now) const {
  const std::uint64_t tokens =
      demand_.PrefillTokensPerSecond(service, now) + peers_.PrefillTokensPerSecond(service);
  return static_cast<double>(tokens) / (speeds_.PrefillTokensPerMs(service) * 1000);
}

void gateway::DetectDelay(time_point now) {
  const time_point before = std::exchange(last_run_, now);
  if (before == time_point() || now - before <= kLateTick) return;
  reads_since_ = now;
  ports_.log->Write(log_importance::kImportant,
                    log_record("loop_delayed")
                        .Number("after_ms", ToMilliseconds(now - before))
                        .Number("in_flight", static_cast<std::int64_t>(exchanges_.size())));
}

void gateway::Run(time_point now) {
  DetectDelay(now);
  peers_.Run(now);
  CheckSilence(now);
  cut_off_.Run(now);
  reachability_.Run(now);
  crash_recorder_.Run(now);
  // Expire and Stall may erase exchanges, so the ids are collected first.
  std::vector<request_id> due;
  std::vector<request_id> slow;
  for (const auto& [id, each] : exchanges_) {
    if (now >= each.deadline || now >= each.call.stalls_at) due.push_back(id);
    if (each.call.paused) slow.push_back(id);
  }
  for (const request_id id : slow) FollowCaller(exchanges_.at(id), now);
  for (const request_id id : due) {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) continue;
    if (now >= found->second.deadline) {
      Expire(found->second, now);
    } else {
      Stall(found->second, now);
    }
  }
  if (now - last_sweep_ < kSweepPeriod) return;
  last_sweep_ = now;
  resumes_.only().Observe(now);
  fleet_.Sweep(now);
  if (!config_) return;
  for (const gateway_service& service : config_->services) {
    if (service.is_engine)
      speeds_.SetReportedSpeed(service.name, peers_.MeanPrefillTokensPerMs(service.name));
  }
}

exchange* gateway::FindByAttempt(attempt_id attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) return nullptr;
  const auto row = exchanges_.find(found->second);
  return row == exchanges_.end() ? nullptr : &row->second;
}

void gateway::Close(exchange& each, std::string_view outcome, int status) {
  const duration taken = ports_.time->Now() - each.arrived;
  const fleet_upstream* last = fleet_.Find(each.call.upstream);
  MetersOf(*each.matched).RecordEnd(outcome, taken);
  if (outcome == kAnswered) stop_admission_.Record(each.matched->name, taken);
  ports_.log->Write(
      log_importance::kRoutine,
      log_record("request_ended")
          .Text("request", each.terms.caller_id)
          .Text("route", each.matched->name)
          .Text("outcome", outcome)
          .Number("status", status)
          .Text("upstream", last == nullptr ? "" : last->entry.id)
          .Number("took_ms", ToMilliseconds(taken))
          .Number("first_ms",
                  each.head_sent ? ToMilliseconds(each.first_event_at - each.arrived) : -1)
          .Number("longest_pause_ms", ToMilliseconds(each.longest_pause))
          .Number("events", static_cast<std::int64_t>(each.events.events()))
          .Number("runs", each.runs)
          .Number("config", static_cast<std::int64_t>(each.config->version)));
  Release(each);
  flow_.Forget(each.id);
  exchanges_.erase(each.id);
}

gateway::route_meters& gateway::MetersOf(const route& matched) {
  auto& kept = meters_[matched.name];
  if (!kept) kept = std::make_unique<route_meters>(*ports_.metrics, matched.name);
  return *kept;
}

}  // namespace hawthorndrum
