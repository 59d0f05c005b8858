/// Fixes, sends and repeats reports of usage.
#include "usage/usage_reporter.h"

#include <algorithm>
#include <utility>

#include "base/counter.h"
#include "base/log_record.h"
#include "base/metrics_registry.h"
#include "base/scaled.h"
#include "duties/duty_authority.h"
#include "ports/clock.h"
#include "ports/event_log.h"
#include "ports/random_source.h"
#include "systems/lease_system.h"
#include "usage/usage_exchange.h"

namespace hawthorndrum {

namespace {

/** Counts of an ended window are a push and a packet's way behind. */
constexpr duration kEarliest = milliseconds(200);
constexpr duration kRetry = milliseconds(700);
/** The daemons that take the duty without waiting for a silence. */
constexpr std::size_t kCandidates = 3;

std::string_view NameOf(duty_outcome outcome) {
  switch (outcome) {
    case duty_outcome::kAccepted:
      return "accepted";
    case duty_outcome::kRefused:
      return "refused";
    case duty_outcome::kNoneAvailable:
      return "none_available";
    case duty_outcome::kNotSent:
      return "not_sent";
    case duty_outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::int64_t RequestsOf(const usage_report& report) {
  std::uint64_t sum = 0;
  for (const auto& [team, count] : report.counts) sum += count;
  return static_cast<std::int64_t>(sum);
}

}  // namespace

usage_reporter::usage_reporter(const ports& given, duration lateness)
    : with_(given),
      lateness_(lateness),
      record_(given.store, given.time, given.random, given.metrics, "usage/reports", *this),
      reported_(given.metrics.Counter("hawthorndrum_usage_windows_reported_total")),
      missed_(given.metrics.Counter("hawthorndrum_usage_windows_missed_total")),
      refused_(given.metrics.Counter("hawthorndrum_usage_calls_failed_total")),
      requests_(given.metrics.Counter("hawthorndrum_usage_requests_reported_total")) {}

void usage_reporter::SetEligible(time_point now) {
  const bool candidate =
      held_ || with_.lease.Rank() < kCandidates || !with_.exchange.HearsHolder(now);
  with_.lease.SetEligible(candidate && now >= barred_until_);
}

void usage_reporter::Run(time_point now) {
  const bool holds = with_.lease.Holds();
  if (holds != held_) {
    held_ = holds;
    loaded_ = unreachable_ = gives_up_ = false;
    accepted_.clear();
    with_.log.Write(log_importance::kImportant,
                    log_record(holds ? "usage_duty_gained" : "usage_duty_lost")
                        .Number("term", static_cast<std::int64_t>(with_.lease.term().value())));
  }
  with_.exchange.SetHolding(holds ? std::optional<lease_term>(with_.lease.term()) : std::nullopt,
                            now);
  SetEligible(now);
  record_.Run(now);
  // By the time that it may act, the others have sent this daemon what they counted.
  if (!holds || !record_.idle() || !with_.authority.TermsFor(now)) return;
  if (!loaded_) return record_.Read();
  Fix(now);
  Send(now);
  GiveUpIfUnreachable(now);
}

void usage_reporter::OnRecordRead(const record_state& state) {
  // A write that met another writer's value ends here too.
  gives_up_ = false;
  if (with_.lease.Holds()) Load(state);
}

void usage_reporter::Load(const record_state& state) {
  auto record = state.version ? DecodeUsageRecord(state.value) : usage_record();
  if (!record) {
    with_.log.Write(log_importance::kImportant,
                    log_record("usage_record_invalid").Text("detail", record.error().message));
    record = usage_record();
    // What was reported up to now is not known.
    record->next = with_.exchange.WindowAt(with_.time.Now());
  }
  stored_ = std::move(*record);
  loaded_ = true;
  const std::uint64_t before = stored_.next;
  // The store may have come back from an older copy; what the daemons heard since holds.
  stored_.next = std::max({stored_.next, with_.exchange.next(), with_.exchange.oldest()});
  if (before != 0 && before < stored_.next && with_.exchange.next() < stored_.next)
    LogMissed(std::max(before, with_.exchange.next()), stored_.next, "not_counted");
  with_.exchange.SetNext(stored_.next);
}

void usage_reporter::LogMissed(std::uint64_t from, std::uint64_t to, std::string_view reason) {
  missed_.Add(to - from);
  with_.log.Write(log_importance::kImportant, log_record("usage_missed")
                                                  .Number("from", static_cast<std::int64_t>(from))
                                                  .Number("to", static_cast<std::int64_t>(to - 1))
                                                  .Text("reason", reason));
}

bool usage_reporter::IsDue(std::uint64_t window, time_point now) const {
  const duration since_end = with_.exchange.SinceEnd(window, now);
  if (since_end < kEarliest) return false;
  return since_end >= Scaled(lateness_, kPatience) ||
         (with_.exchange.KnowsTime(now) && with_.exchange.AllActiveHeard(window, now));
}

void usage_reporter::Fix(time_point now) {
  stored_.next = std::max(stored_.next, with_.exchange.next());
  usage_record record = stored_;
  const std::uint64_t last = stored_.next + kMaxPending;
  for (; record.next < last && IsDue(record.next, now); ++record.next) {
    const usage_coverage coverage = with_.exchange.CoverageOf(record.next);
    fixed_report fixed;
    fixed.report.window = record.next;
    fixed.report.counts = with_.exchange.Sum(record.next);
    fixed.heard = coverage.heard;
    fixed.known = coverage.known;
    if (coverage.began > 0) {
      // What a daemon's former process counted and did not send is lost.
      with_.log.Write(log_importance::kNotable,
                      log_record("usage_began")
                          .Number("window", static_cast<std::int64_t>(record.next))
                          .Number("daemons", static_cast<std::int64_t>(coverage.began)));
    }
    record.pending.push_back(std::move(fixed));
  }
  if (record.next == stored_.next) return;
  record.pending.erase(
      std::remove_if(record.pending.begin(), record.pending.end(),
                     [&](const fixed_report& each) { return accepted_.count(each.report.window); }),
      record.pending.end());
  while (record.pending.size() > kMaxPending) {
    const std::uint64_t oldest = record.pending.front().report.window;
    LogMissed(oldest, oldest + 1, "not_accepted");
    record.pending.erase(record.pending.begin());
  }
  if (!accepted_.empty()) record.given_up = 0;
  Write(std::move(record));
}

void usage_reporter::Write(usage_record record) {
  writing_ = std::move(record);
  record_.Write(EncodeUsageRecord(writing_, with_.random.Draw()));
}

void usage_reporter::OnRecordWritten(const record_state&, time_point) {
  stored_ = writing_;
  const std::uint64_t first =
      stored_.pending.empty() ? stored_.next : stored_.pending.front().report.window;
  accepted_.erase(accepted_.begin(), accepted_.lower_bound(first));
  with_.exchange.SetNext(stored_.next);
  if (!gives_up_) return;
  gives_up_ = false;
  barred_until_ = with_.time.Now() + kBarred;
}

void usage_reporter::Send(time_point now) {
  if (call_ || now < send_at_ || !record_.idle()) return;
  const auto terms = with_.authority.TermsFor(now);
  if (!terms) return;
  const std::size_t count = stored_.pending.size();
  for (std::size_t i = 0; i < count; ++i) {
    const fixed_report& next = stored_.pending[(turn_ + i) % count];
    if (accepted_.count(next.report.window) > 0) continue;
    turn_ = (turn_ + i) % count;
    call_ = duty_call_id(with_.random.Draw());
    sent_window_ = next.report.window;
    with_.log.Write(log_importance::kNotable,
                    log_record("duty_sent")
                        .Text("duty", "usage")
                        .Number("window", static_cast<std::int64_t>(sent_window_))
                        .Number("term", static_cast<std::int64_t>(terms->term.value())));
    return with_.platform.ReportUsage(call_, next.report, *terms, *this);
  }
}

void usage_reporter::OnDutyAnswer(duty_call_id call, duty_outcome outcome) {
  if (call != call_) return;
  call_ = {};
  const time_point now = with_.time.Now();
  with_.log.Write(log_importance::kNotable,
                  log_record("duty_answered")
                      .Text("duty", "usage")
                      .Text("outcome", NameOf(outcome))
                      .Number("window", static_cast<std::int64_t>(sent_window_)));
  if (outcome != duty_outcome::kAccepted) {
    // The same content again, after the others that wait: a report that the platform does not
    // take must not hold them up.
    refused_.Add();
    turn_ += 1;
    send_at_ = now + kRetry;
    const bool reached =
        outcome == duty_outcome::kRefused || outcome == duty_outcome::kNoneAvailable;
    if (reached) {
      unreachable_ = false;
    } else if (!unreachable_) {
      unreachable_ = true;
      unreachable_since_ = now;
    }
    return;
  }
  unreachable_ = false;
  accepted_.insert(sent_window_);
  for (const fixed_report& each : stored_.pending) {
    if (each.report.window != sent_window_) continue;
    const std::int64_t requests = RequestsOf(each.report);
    reported_.Add();
    requests_.Add(static_cast<std::uint64_t>(requests));
    with_.log.Write(
        log_importance::kImportant,
        log_record("usage_reported")
            .Number("window", static_cast<std::int64_t>(sent_window_))
            .Number("teams", static_cast<std::int64_t>(each.report.counts.size()))
            .Number("requests", requests)
            .Number("heard", static_cast<std::int64_t>(each.heard))
            .Number("known", static_cast<std::int64_t>(each.known))
            .Number("after_end_ms", ToMilliseconds(with_.exchange.SinceEnd(sent_window_, now))));
  }
}

void usage_reporter::GiveUpIfUnreachable(time_point now) {
  if (!unreachable_ || now - unreachable_since_ < kUnreachable || !record_.idle()) return;
  if (stored_.given_up >= kMaxGivenUp) return;
  gives_up_ = true;
  unreachable_ = false;
  with_.log.Write(log_importance::kImportant, log_record("usage_duty_given_up"));
  usage_record record = stored_;
  record.given_up += 1;
  Write(std::move(record));
}

}  // namespace hawthorndrum
