/// Admission control: admits requests, orders the queue, and refuses early what would be late.
#include "systems/admission_system.h"

#include <algorithm>
#include <utility>

#include "systems/routing_system.h"

namespace hawthorndrum {

namespace {

constexpr int kHighestPriority = 9;
/** The highest priority that a request reaches by its age, so that phone callers stay first. */
constexpr int kHighestAgedPriority = 8;
/**
 * After this many dispatches the request that has waited for the largest share of its useful time
 * goes first and needs no room, so that no request starves.
 */
constexpr std::uint32_t kDispatchesPerAged = 8;
/** The share of its useful time that a request must have waited to go first by its age. */
constexpr double kAgedShare = 0.5;
/** From this priority up, a request never waits for a short upstream queue. */
constexpr int kUrgentPriority = 7;
/** The wait at an upstream that a non-urgent request accepts, times its effective priority + 1. */
constexpr duration kWaitPerPriority = milliseconds(60);
constexpr duration kSortPeriod = milliseconds(20);
constexpr duration kShortestRetryAfter = seconds(1);
constexpr duration kLongestRetryAfter = seconds(60);
constexpr duration kNoUpstreamRetryAfter = seconds(5);
constexpr duration kSweepPeriod = seconds(10);
constexpr duration kServiceIdle = seconds(120);
constexpr double kDrainWeight = 0.2;
constexpr double kLongestDrainSeconds = 5;
/**
 * The longest wait predicted from the queue's current drain rate, which says little about later
 * times, so that it can't cause the refusal of a request whose useful time is much longer.
 */
constexpr double kMaxPredictedWaitSeconds = 30;

duration RetryAfter(duration wanted) {
  return std::clamp(wanted, kShortestRetryAfter, kLongestRetryAfter);
}

refusal NotRun(int status, std::string code, std::string detail, duration retry_after) {
  return {status, outcome::kNotRun, std::move(code), std::move(detail), RetryAfter(retry_after)};
}

/** The key of the request's upstream group and priority; each key has its own drain rate. */
std::uint64_t DrainKey(const request_row& request) {
  return upstream_index::KeyOf(*request.service) + static_cast<std::uint64_t>(request.priority);
}

/** Adds a margin for error; urgent requests overtake others at the upstream and need none. */
duration WithMargin(const request_row& request, duration estimated) {
  return request.priority >= kUrgentPriority ? estimated : estimated * 6 / 5;
}

}  // namespace

admission_system::admission_system(const request_table& requests, const routing_system& routing)
    : requests_(requests), routing_(routing) {}

std::optional<refusal> admission_system::Admit(const request_row& request, time_point now) {
  if (held_bytes_ + request.body.size() > kMaxHeldBytes) {
    return NotRun(503, "overloaded", "this daemon holds too many requests", kShortestRetryAfter);
  }
  if (!routing_.IsServed(*request.service)) {
    return NotRun(503, "no_upstream", "no upstream known here holds what this service needs",
                  kNoUpstreamRetryAfter);
  }
  if (auto why = RefuseByTime(request, now)) return why;
  return RefuseByLimits(request, now);
}

std::optional<refusal> admission_system::RefuseByLimits(const request_row& request,
                                                        time_point now) {
  const service_limits& limits = request.service->limits;
  service_state& state = StateOf(*request.service);
  state.last_used = now;
  const std::uint64_t room = std::uint64_t{limits.concurrency} + limits.queue_length;
  if (state.held >= room || queue_.size() >= kLongestQueue) {
    return NotRun(429, "queue_full", "the service's queue is full", QueueWait(request));
  }
  if (!state.rate.Take(now)) {
    return NotRun(429, "rate_limited", "the service is over its request rate",
                  state.rate.UntilNext());
  }
  return std::nullopt;
}

std::optional<refusal> admission_system::RefuseByTime(const request_row& request,
                                                      time_point now) const {
  const auto choice = routing_.Choose(request, now);
  if (!choice) return std::nullopt;
  const duration needed =
      WithMargin(request, choice->best().estimate.whole + QueueWait(request) * 5 / 4);
  const duration left = request.useful_by - now;
  if (needed <= left) return std::nullopt;
  return NotRun(503, "too_late", "no upstream can answer in time", needed - left);
}

void admission_system::Hold(const request_row& request) {
  held_bytes_ += request.body.size();
  StateOf(*request.service).held += 1;
}

void admission_system::Release(const request_row& request) {
  held_bytes_ -= std::min(held_bytes_, request.body.size());
  service_state& state = StateOf(*request.service);
  if (state.held > 0) state.held -= 1;
}

void admission_system::Enqueue(const request_row& request) {
  queue_.push_back(request.id);
  sorted_ = false;
}

void admission_system::Dequeue(request_id request) {
  const auto found = std::find(queue_.begin(), queue_.end(), request);
  if (found != queue_.end()) queue_.erase(found);
}

void admission_system::OnAttemptOpened(const request_row& request, time_point now) {
  StateOf(*request.service).open += 1;
  opened_ += 1;
  drain_state& drain = drains_[DrainKey(request)];
  if (drain.last != time_point()) {
    const double gap = std::min(ToSeconds(now - drain.last), kLongestDrainSeconds);
    drain.seconds_between += kDrainWeight * (gap - drain.seconds_between);
  }
  drain.last = now;
}

void admission_system::OnAttemptClosed(const request_row& request) {
  service_state& state = StateOf(*request.service);
  if (state.open > 0) state.open -= 1;
}

const std::vector<request_id>& admission_system::InOrder(time_point now) {
  if (sorted_ && now - sorted_at_ < kSortPeriod) return queue_;
  struct key {
    int priority;
    time_point useful_by;
    request_id id;
  };
  std::vector<key> keys;
  keys.reserve(queue_.size());
  for (const request_id id : queue_) {
    const request_row* row = requests_.Find(id);
    if (!row) continue;
    keys.push_back({EffectivePriority(*row, now), row->useful_by, id});
  }
  std::sort(keys.begin(), keys.end(), [](const key& a, const key& b) {
    if (a.priority != b.priority) return a.priority > b.priority;
    return a.useful_by != b.useful_by ? a.useful_by < b.useful_by : a.id < b.id;
  });
  queue_.clear();
  for (const key& one : keys) queue_.push_back(one.id);
  sorted_ = true;
  sorted_at_ = now;
  PutAgedFirst(now);
  return queue_;
}

void admission_system::PutAgedFirst(time_point now) {
  if (opened_ - opened_at_aged_ < kDispatchesPerAged) return;
  aged_request_ = request_id();
  double most = kAgedShare;
  std::size_t at = 0;
  for (std::size_t i = 0; i < queue_.size(); ++i) {
    const request_row* row = requests_.Find(queue_[i]);
    const double waited = ToSeconds(now - row->arrived) / ToSeconds(row->useful_by - row->arrived);
    if (row->attempts > 0 || row->spilled || waited < most) continue;
    most = waited;
    at = i;
    aged_request_ = queue_[i];
  }
  if (!aged_request_) return;
  opened_at_aged_ = opened_;
  const auto begin = queue_.begin();
  std::rotate(begin, begin + static_cast<std::ptrdiff_t>(at),
              begin + static_cast<std::ptrdiff_t>(at) + 1);
}

bool admission_system::MayOpen(const request_row& request) const {
  const auto found = services_.find(request.service->name);
  return found == services_.end() || found->second.open < request.service->limits.concurrency;
}

bool admission_system::HasRoom(const request_row& request, const load_estimate& estimate,
                               time_point now) const {
  // A request that would be late there waits: its upstream may get faster, or it expires here.
  if (now + WithMargin(request, estimate.whole) > request.useful_by && request.attempts == 0)
    return false;
  if (request.priority >= kUrgentPriority || request.id == aged_request_ || estimate.is_idle)
    return true;
  const int priority = EffectivePriority(request, now);
  return estimate.wait <= kWaitPerPriority * (priority + 1);
}

time_point admission_system::LatestSendTime(const request_row& request, time_point now) const {
  const auto choice = routing_.Choose(request, now);
  if (!choice) return request.useful_by;
  const load_estimate& estimate = choice->best().estimate;
  return request.useful_by - WithMargin(request, estimate.whole - estimate.wait);
}

int admission_system::EffectivePriority(const request_row& request, time_point now) {
  if (request.spilled) return request.priority;
  const duration whole = request.useful_by - request.arrived;
  if (whole <= duration::zero()) return kHighestPriority;
  const duration waited = now - request.arrived;
  const auto raised = static_cast<int>((kHighestPriority + 1) * waited.count() / whole.count());
  return std::clamp(request.priority + raised, 0, std::max(request.priority, kHighestAgedPriority));
}

duration admission_system::QueueWait(const request_row& request) const {
  const std::uint64_t key = DrainKey(request);
  const auto drain = drains_.find(key);
  if (drain == drains_.end()) return duration::zero();
  std::size_t ahead = 0;
  for (const request_id id : queue_) {
    const request_row* row = requests_.Find(id);
    if (row && DrainKey(*row) == key && row->useful_by <= request.useful_by) ahead += 1;
  }
  const double wait = std::min(static_cast<double>(ahead) * drain->second.seconds_between,
                               kMaxPredictedWaitSeconds);
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait));
}

admission_system::service_state& admission_system::StateOf(const service_config& service) {
  const service_limits& limits = service.limits;
  const auto found = services_.find(service.name);
  if (found != services_.end()) {
    found->second.rate.SetLimits(limits.requests_per_second, limits.burst);
    return found->second;
  }
  service_state state{token_bucket(limits.requests_per_second, limits.burst), 0, 0, {}};
  return services_.emplace(service.name, state).first->second;
}

void admission_system::Run(time_point now) {
  if (now - last_sweep_ < kSweepPeriod) return;
  last_sweep_ = now;
  for (auto one = services_.begin(); one != services_.end();) {
    const service_state& state = one->second;
    const bool idle = state.held == 0 && state.open == 0 && now - state.last_used > kServiceIdle;
    one = idle ? services_.erase(one) : std::next(one);
  }
}

}  // namespace hawthorndrum
