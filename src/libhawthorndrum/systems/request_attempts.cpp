/// The request path: events of attempts, retries and the marking of failed upstreams.
#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "base/metrics_registry.h"
#include "ports/clock.h"
#include "ports/random_source.h"
#include "ports/upstream_port.h"
#include "systems/request_reader.h"
#include "systems/request_system.h"
#include "systems/resume_token.h"

namespace hawthorndrum {

namespace {

constexpr std::uint32_t kMaxAttempts = 4;
constexpr std::size_t kMaxBufferedBytes = kLongestBody;
/** A plain answer longer than this is forwarded while it arrives. */
constexpr std::size_t kMaxBufferedPlainBytes = 1 << 20;
constexpr duration kFirstBackoff = milliseconds(10);
constexpr duration kLongestBackoff = seconds(1);
constexpr duration kFirstAvoidance = milliseconds(250);
constexpr int kMaxAvoidanceDoublings = 5;
constexpr duration kBusyAvoidance = milliseconds(100);
constexpr std::string_view kStreamEnd = "data: [DONE]";

std::string FailureText(attempt_failure failure) {
  switch (failure) {
    case attempt_failure::kNotConnected:
      return "the upstream could not be reached";
    case attempt_failure::kConnectionLost:
      return "the connection to the upstream was lost";
    case attempt_failure::kMalformed:
      return "the upstream's answer was malformed";
    case attempt_failure::kTimeout:
      return "the upstream did not answer";
    case attempt_failure::kNoResources:
      return "this host had no resources for the connection";
  }
  return "the upstream failed";
}

bool IsSuccess(int status) { return status >= 200 && status < 300; }

bool IsNotStarted(const attempt_head& head) {
  return FindHeader(head.headers, "X-Not-Started") == "1";
}

/** Returns whether a stream that was buffered, because it may not be repeated, is complete. */
bool EndsWithDone(std::string_view body) {
  const std::size_t last = body.find_last_not_of("\r\n");
  if (last == std::string_view::npos) return false;
  const std::string_view text = body.substr(0, last + 1);
  return text.size() >= kStreamEnd.size() &&
         text.substr(text.size() - kStreamEnd.size()) == kStreamEnd;
}

/** Returns the number of a token, from its event id in an engine's or a daemon's stream. */
std::optional<std::uint64_t> TokenNumber(std::string_view id, bool from_daemon) {
  if (from_daemon) {
    const auto token = ParseResumeToken(id);
    return token ? std::optional<std::uint64_t>(token->offset) : std::nullopt;
  }
  std::uint64_t number = 0;
  const char* end = id.data() + id.size();
  const auto parsed = std::from_chars(id.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

refusal UpstreamFailed(outcome what, std::string detail) {
  return {502, what, "upstream_failed", std::move(detail), seconds(1)};
}

}  // namespace

void request_system::OnAttemptHead(const attempt_head& head) {
  attempt_row* attempt = attempts_.Find(head.attempt);
  if (!attempt || attempt->has_head) return dropped_events_.Add();
  request_row* request = requests_.Find(attempt->request);
  attempt->has_head = true;
  if (IsNotStarted(head)) {
    attempt_problem problem;
    problem.why = {503, outcome::kNotRun, "upstream_busy", "the upstream did not start it",
                   seconds(1)};
    problem.may_have_run = false;
    if (upstream* row = ports_.upstreams->Find(attempt->upstream)) {
      row->avoid_until = std::max(row->avoid_until, ports_.time->Now() + kBusyAvoidance);
    }
    return Recover(*attempt, problem, true);
  }
  attempt->answer.status = head.status;
  attempt->answer.headers = head.headers;
  const bool is_model = request->service->kind == service_kind::kModel;
  attempt->relays = is_model && request->stream && request->repeatable && head.status == 200;
}

void request_system::OnAttemptBytes(const attempt_bytes& bytes) {
  attempt_row* attempt = attempts_.Find(bytes.attempt);
  if (!attempt || !attempt->has_head) return dropped_events_.Add();
  request_row* request = requests_.Find(attempt->request);
  if (!attempt->has_bytes) {
    const time_point now = ports_.time->Now();
    attempt->has_bytes = true;
    routing_.work().Started(attempt->upstream, attempt->id,
                            now - attempt->sent - attempt->estimated_first_token, now);
    if (attempt->spilled_to.empty()) {
      routing_.RecordCachedPrefix(*request, attempt->upstream, now);
    } else {
      spill_.Answered(*request->service, attempt->spilled_to, now - attempt->sent, now);
    }
    if (!request->answer_begun) answers_.RecordFirstToken(*request, now);
  }
  if (attempt->spilled_to.empty()) {
    poison_.Alive({attempt->upstream, attempt->upstream_incarnation}, attempt->sent,
                  ports_.time->Now());
  }
  if (attempt->relays) return Relay(*attempt, *request, bytes.bytes);
  AppendBody(*attempt, *request, bytes.bytes);
}

void request_system::Relay(attempt_row& attempt, request_row& request, std::string_view bytes) {
  std::vector<sse_event> events;
  const bool fits = attempt.parser.Feed(bytes, events);
  for (sse_event& event : events) {
    if (event.data == "[DONE]") return FinishStream(attempt, request);
    if (!RelayEvent(attempt, request, std::move(event))) {
      return Recover(attempt,
                     {UpstreamFailed(outcome::kFailed, "the stream had a gap"), true, false}, true);
    }
  }
  if (fits) return;
  Recover(attempt, {UpstreamFailed(outcome::kFailed, "the stream was malformed"), true, false},
          true);
}

bool request_system::RelayEvent(attempt_row& attempt, request_row& request, sse_event event) {
  if (event.type == "error") return false;
  if (!event.id.empty()) {
    const auto read = TokenNumber(event.id, !attempt.spilled_to.empty());
    if (!read) return false;
    const std::uint64_t number = *read;
    if (number <= request.offset) {
      dropped_events_.Add();
      return true;
    }
    if (number != request.offset + 1) return false;
    request.offset = number;
    const time_point now = ports_.time->Now();
    if (attempt.last_token != time_point()) {
      routing_.work().Token(attempt.upstream, now - attempt.last_token, now);
    }
    attempt.last_token = now;
  }
  answers_.BeginStream(request);
  answers_.WriteToken(request, attempt.upstream, std::move(event));
  return true;
}

void request_system::AppendBody(attempt_row& attempt, request_row& request,
                                std::string_view bytes) {
  std::string& body = attempt.answer.body;
  const bool is_plain = request.service->kind == service_kind::kPlain;
  if (request.answer_begun) return answers_.WriteBody(request, bytes);
  if (body.size() + bytes.size() > kMaxBufferedBytes) {
    // The caller can't be given the complete answer, but the claim must still be settled.
    if (request.claim_held) return;
    return Recover(attempt,
                   {UpstreamFailed(outcome::kFailed, "the answer is too long"), true, false}, true);
  }
  body += bytes;
  if (is_plain && request.repeatable && body.size() > kMaxBufferedPlainBytes) {
    answers_.BeginBody(request, attempt.answer);
    body.clear();
  }
}

void request_system::OnAttemptFinished(const attempt_finished& finished) {
  attempt_row* attempt = attempts_.Find(finished.attempt);
  if (!attempt) return;
  request_row* request = requests_.Find(attempt->request);
  if (!attempt->has_head || attempt->relays) {
    return Recover(*attempt, {UpstreamFailed(outcome::kUnknown, "the stream was cut"), true, true},
                   false);
  }
  // An upstream that crashes closes its connection too, right after the head of its answer.
  const bool breaks_off =
      finished.by_close && !attempt->has_bytes && IsSuccess(attempt->answer.status);
  if (breaks_off) {
    return Recover(*attempt,
                   {UpstreamFailed(outcome::kUnknown, "the answer broke off"), true, true}, false);
  }
  FinishAnswer(*attempt, *request);
}

void request_system::FinishAnswer(attempt_row& attempt, request_row& request) {
  const bool is_model = request.service->kind == service_kind::kModel;
  const int status = attempt.answer.status;
  if (is_model && request.repeatable && (status >= 500 || status == 429)) {
    return Recover(
        attempt,
        {UpstreamFailed(attempt.spilled_to.empty() ? outcome::kFailed : outcome::kUnknown,
                        "the engine answered " + std::to_string(status)),
         true, status >= 500},
        false);
  }
  if (is_model && request.stream && status == 200 && !EndsWithDone(attempt.answer.body)) {
    return Recover(attempt, {UpstreamFailed(outcome::kUnknown, "the stream was cut"), true, true},
                   false);
  }
  MarkUpstream(attempt.upstream, false, ports_.time->Now());
  http_answer answer = std::move(attempt.answer);
  if (status < 300) routing_.RecordAnswer(request, routing_.ExpectedOutput(request));
  poison_.Answered(request.fingerprint, ports_.time->Now());
  CloseAttempt(attempt, std::to_string(status));
  if (request.claim_held) ports_.claims->ReportDone(request.id, answer);
  if (request.state != request_state::kDetached) {
    if (request.answer_begun) {
      answers_.EndBody(request);
    } else {
      answers_.WriteAnswer(request, std::move(answer));
    }
  }
  Erase(request.id);
}

void request_system::FinishStream(attempt_row& attempt, request_row& request) {
  MarkUpstream(attempt.upstream, false, ports_.time->Now());
  routing_.RecordAnswer(request, request.offset);
  if (request.attempts == 1) {
    routing_.RecordDuration(request, ports_.time->Now() - attempt.sent, attempt.estimated_whole);
  }
  poison_.Answered(request.fingerprint, ports_.time->Now());
  answers_.BeginStream(request);
  answers_.EndStream(request);
  CloseAttempt(attempt, "done");
  Erase(request.id);
}

void request_system::OnAttemptLost(const attempt_lost& lost) {
  attempt_row* attempt = attempts_.Find(lost.attempt);
  if (!attempt) return dropped_events_.Add();
  attempt_problem problem;
  const outcome what = lost.bytes_sent ? outcome::kUnknown : outcome::kNotRun;
  problem.why = UpstreamFailed(what, FailureText(lost.failure));
  problem.may_have_run = lost.bytes_sent;
  problem.upstream_failed =
      lost.failure != attempt_failure::kMalformed && lost.failure != attempt_failure::kNoResources;
  // A reused connection that broke and could not be reopened is reported as not connected.
  problem.crashed = lost.bytes_sent && (lost.failure == attempt_failure::kConnectionLost ||
                                        lost.failure == attempt_failure::kNotConnected);
  Recover(*attempt, problem, false);
}

void request_system::Recover(attempt_row& attempt, const attempt_problem& problem, bool cancel) {
  const time_point now = ports_.time->Now();
  request_row& request = *requests_.Find(attempt.request);
  if (cancel) ports_.upstream->Cancel(attempt.id);
  if (problem.upstream_failed) MarkUpstream(attempt.upstream, true, now);
  const std::string spilled_to = attempt.spilled_to;
  const bool crashed = problem.crashed && spilled_to.empty();
  if (crashed && !routing_.IsProven(request.fingerprint)) {
    poison_.Lost(request.fingerprint, {attempt.upstream, attempt.upstream_incarnation},
                 request.runs_alone, now);
  }
  if (crashed) routing_.prefixes().Forget(attempt.upstream);
  const fingerprint_standing standing = poison_.StandingOf(request.fingerprint, now);
  const bool is_forwarded = request.answer_begun && !attempt.relays && !request.stream;
  CloseAttempt(attempt, problem.why.code);
  decisions_.Note(request.id, now, problem.why.detail);
  if (problem.may_have_run) request.may_have_run = true;
  if (request.state == request_state::kDetached) {
    request.caller_gone = true;
    return Fail(request, problem.why);
  }
  if (standing == fingerprint_standing::kConvicted) return Fail(request, Convicted(request, now));
  if (!spilled_to.empty()) {
    spill_.Refused(*request.service, spilled_to, now);
    return OnSpillFailed(request, problem, now);
  }
  const bool is_suspect = standing == fingerprint_standing::kSuspect;
  if (is_forwarded || !MayRetry(request, is_suspect, now)) return Fail(request, problem.why);
  retries_total_.Add();
  if (request.answer_begun) resumes_total_.Add();
  request.state = request_state::kBackoff;
  request.attempt = attempt_id();
  request.wake_at = now + Backoff(request.attempts);
  timers_.Add(request.wake_at, request.id);
}

bool request_system::MayRetry(const request_row& request, bool is_suspect, time_point now) {
  if (!request.repeatable && request.may_have_run) return false;
  if (request.spilled) return false;
  if (request.attempts >= kMaxAttempts || now >= request.deadline) return false;
  if (!routing_.HasUntried(request)) return false;
  // Suspects run one at a time in the data centre, so they can't cause a retry storm and need no
  // budget.
  return is_suspect || retries_.Spend(request.service->name, now);
}

void request_system::CloseAttempt(const attempt_row& attempt, std::string result) {
  if (request_row* request = requests_.Find(attempt.request)) {
    answers_.RecordAttempt(*request, attempt, std::move(result));
    admission_.OnAttemptClosed(*request);
    if (!attempt.spilled_to.empty()) spill_.Ended(*request->service, attempt.spilled_to);
    if (request->runs_alone) suspect_lock_.Release(request->fingerprint, ports_.time->Now());
    request->runs_alone = false;
  }
  routing_.work().Ended(attempt.upstream, attempt.id);
  dispatch_needed_ = true;
  attempts_.Erase(attempt_id(attempt.id));
}

void request_system::MarkUpstream(upstream_id id, bool failed, time_point now) {
  upstream* row = ports_.upstreams->Find(id);
  if (!row) return;
  if (!failed) {
    row->failures_in_a_row = 0;
    return;
  }
  const int doublings = std::min(static_cast<int>(row->failures_in_a_row), kMaxAvoidanceDoublings);
  row->failures_in_a_row += 1;
  row->last_failure = now;
  const double jitter = 0.5 + ports_.random->Fraction();
  const double wait = ToSeconds(kFirstAvoidance * (1 << doublings)) * jitter;
  row->avoid_until =
      now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait));
}

duration request_system::Backoff(std::uint32_t attempts) {
  const std::uint32_t doublings = std::min(attempts - 1, kMaxAttempts);
  const duration longest = std::min(kFirstBackoff * (1 << doublings), kLongestBackoff);
  const double jitter = 0.5 + ports_.random->Fraction();
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(ToSeconds(longest) * jitter));
}

}  // namespace hawthorndrum
