/// Takes one request to a step, injects faults there, and then lets it finish.
#include "fault_run.h"

#include "systems/problem_answer.h"

namespace hawthorndrum {

namespace {

constexpr int kUpstreams = 4;
constexpr int kServingRounds = 60;
constexpr duration kRound = milliseconds(200);

std::string TokenText(char marker, std::uint64_t number) {
  return std::string("data: ") + marker + std::to_string(number) + "\n\n";
}

}  // namespace

fault_run::fault_run(request_kind kind) : kind_(kind) {
  for (int i = 0; i < kUpstreams; ++i) {
    const std::string address = "u:" + std::to_string(i);
    if (kind == request_kind::kStream || kind == request_kind::kWhole) {
      path_.AddEngine(address);
    } else {
      path_.AddWorker(address, kind == request_kind::kPlain ? "stock" : "pay");
    }
  }
  b_ = Send('B');
}

request_id fault_run::Send(char marker) {
  const std::string text(1, marker);
  request_id id;
  if (kind_ == request_kind::kPlain) {
    id = path_.Post("/services/stock/" + text, text);
  } else if (kind_ == request_kind::kPayment) {
    id = path_.Post("/services/pay/" + text, text, {{"Idempotency-Key", "key" + text}});
  } else {
    id = path_.Chat(text, kind_ == request_kind::kStream);
  }
  TrackAttempts();
  return id;
}

/// Adds the attempts that were sent since the last call, and marks those that were cancelled.
void fault_run::TrackAttempts() {
  for (std::size_t i = 0; i < path_.port.sent.size(); ++i) {
    const sent_attempt& sent = path_.port.sent[i];
    if (i == attempts_.size()) {
      attempt_state fresh;
      fresh.id = sent.attempt;
      fresh.address = sent.address;
      const std::string& body = sent.request.body;
      const bool is_a = body == "A" || body.find("\"content\":\"A\"") != std::string::npos;
      fresh.marker = is_a ? 'A' : 'B';
      const std::string_view offset = FindHeader(sent.request.headers, "X-Resume-Offset");
      fresh.next = offset.empty() ? 0 : std::stoull(std::string(offset));
      attempts_.push_back(fresh);
    }
    if (sent.cancelled) attempts_[i].ended = true;
  }
}

attempt_state* fault_run::FindOpen(char marker) {
  TrackAttempts();
  for (attempt_state& one : attempts_) {
    if (one.marker == marker && !one.ended) return &one;
  }
  return nullptr;
}

void fault_run::SetPlannedChange(bool planned) {
  for (upstream& row : path_.upstreams) row.planned_change = planned;
}

void fault_run::AdvanceTo(request_step step) {
  if (step == request_step::kClaiming) path_.claims.grants_at_once = false;
  if (step == request_step::kQueued) SetPlannedChange(true);
  a_ = Send('A');
  attempt_state* attempt = FindOpen('A');
  if (!attempt || step == request_step::kSent) return;
  if (step == request_step::kOver) return Serve(*attempt);
  SendHead(*attempt);
  if (step == request_step::kHead) return;
  SendTokens(*attempt, 2);
}

void fault_run::SendHead(attempt_state& attempt, int status, std::vector<http_header> headers) {
  if (attempt.has_head) return;
  attempt.has_head = true;
  path_.Head(attempt.id, status, std::move(headers));
}

void fault_run::SendTokens(attempt_state& attempt, std::uint64_t to) {
  for (; attempt.next < to; ++attempt.next) {
    const std::uint64_t number = attempt.next + 1;
    if (kind_ == request_kind::kStream) {
      path_.Bytes(attempt.id,
                  "id: " + std::to_string(number) + "\n" + TokenText(attempt.marker, number));
    } else {
      path_.Bytes(attempt.id, attempt.marker + std::to_string(number));
    }
  }
}

void fault_run::Serve(attempt_state& attempt) {
  SendHead(attempt);
  SendTokens(attempt, kTokens);
  if (kind_ == request_kind::kStream) path_.Bytes(attempt.id, request_path::Done());
  attempt.ended = true;
  path_.Finish(attempt.id);
}

void fault_run::Lose(attempt_state& attempt, bool sent, attempt_failure failure) {
  attempt.ended = true;
  if (!sent) attempt.started = false;
  path_.Lose(attempt.id, sent, failure);
}

void fault_run::Crash(const std::string& address) {
  path_.At(address).report.engine_incarnation += 1;
  std::vector<std::size_t> affected;
  for (std::size_t i = 0; i < attempts_.size(); ++i) {
    if (attempts_[i].address == address && !attempts_[i].ended) affected.push_back(i);
  }
  for (const std::size_t i : affected) Lose(attempts_[i], true, attempt_failure::kConnectionLost);
}

/// Repeats all events of an attempt.
void fault_run::Replay(attempt_id id, char marker) {
  path_.Head(id);
  path_.Bytes(id, kind_ == request_kind::kStream ? "id: 1\n" + TokenText(marker, 1) : "again");
  if (kind_ == request_kind::kStream) path_.Bytes(id, request_path::Done());
  path_.Finish(id);
  path_.Lose(id);
}

void fault_run::Apply(fault_kind fault) {
  attempt_state* attempt = FindOpen('A');
  const bool is_open = attempt != nullptr;
  switch (fault) {
    case fault_kind::kCrash:
      if (is_open) Crash(std::string(attempt->address));
      break;
    case fault_kind::kCutUnsent:
      if (is_open && !attempt->has_head) Lose(*attempt, false, attempt_failure::kNotConnected);
      break;
    case fault_kind::kRefused:
      if (!is_open || attempt->has_head) break;
      attempt->started = false;
      attempt->ended = true;
      SendHead(*attempt, 503, {{"X-Not-Started", "1"}});
      break;
    case fault_kind::kMalformed:
      if (is_open) Lose(*attempt, true, attempt_failure::kMalformed);
      break;
    case fault_kind::kPause:
      if (is_open) attempt->paused = true;
      break;
    case fault_kind::kLateAnswer:
      if (!is_open) break;
      // The request expired at its deadline; only a payment's answer still counts, for its claim.
      path_.Tick(seconds(61));
      Serve(*attempt);
      break;
    case fault_kind::kDuplicate:
      // Repeats all events of attempts that are over; an open stream gets its first token twice.
      for (const attempt_state& one : attempts_) {
        if (one.ended) Replay(one.id, one.marker);
      }
      if (is_open && attempt->has_head && kind_ == request_kind::kStream) {
        path_.Bytes(attempt->id, "id: 1\n" + TokenText('A', 1));
        attempt->next = std::max<std::uint64_t>(attempt->next, 1);
      }
      break;
    case fault_kind::kForeign:
      Replay(attempt_id(12345), 'X');
      break;
    case fault_kind::kReportLag:
      for (upstream& row : path_.upstreams) row.report_time -= seconds(5);
      break;
    case fault_kind::kLeaving:
      for (upstream& row : path_.upstreams) {
        if (is_open && row.address == attempt->address) row.leaving.engine = true;
      }
      break;
    case fault_kind::kConfigChange: {
      service_config changed;
      changed.name = "pay";
      changed.kind = service_kind::kPlain;
      changed.pool = "elsewhere";
      path_.config.Put(changed);
      break;
    }
    case fault_kind::kDaemonStop:
      path_.system->BeginStop();
      break;
    case fault_kind::kCallerGone:
      caller_gone_ = true;
      path_.system->OnCallerGone(a_);
      break;
  }
  path_.Tick();
  TrackAttempts();
}

void fault_run::RunToEnd() {
  SetPlannedChange(false);
  for (auto& [id, record] : path_.claims.records) {
    if (!record.decided && !record.forgotten) path_.claims.Decide(id, claim_verdict::kGranted);
  }
  for (int round = 0; round < kServingRounds; ++round) {
    path_.Tick(kRound);
    TrackAttempts();
    for (std::size_t i = 0; i < attempts_.size(); ++i) {
      if (!attempts_[i].ended && !attempts_[i].paused) Serve(attempts_[i]);
      TrackAttempts();
    }
  }
  // Past the longest deadline, and past the time limit of detached attempts.
  path_.Tick(seconds(61));
  path_.Tick(seconds(61));
}

bool fault_run::MustAnswer(const std::vector<fault_kind>& faults) const {
  bool must = true;
  for (const fault_kind fault : faults) {
    switch (fault) {
      case fault_kind::kCutUnsent:
      case fault_kind::kRefused:
      case fault_kind::kDuplicate:
      case fault_kind::kForeign:
      case fault_kind::kReportLag:
      case fault_kind::kLeaving:
      case fault_kind::kConfigChange:
      case fault_kind::kDaemonStop:
        break;
      case fault_kind::kCrash:
      case fault_kind::kMalformed:
        must &= kind_ != request_kind::kPayment;
        break;
      case fault_kind::kPause:
      case fault_kind::kLateAnswer:
      case fault_kind::kCallerGone:
        must = false;
        break;
    }
  }
  return must;
}

std::string fault_run::CompleteAnswer(char marker) const {
  std::string text;
  for (std::uint64_t number = 1; number <= kTokens; ++number) {
    text += kind_ == request_kind::kStream
                ? "data: " + std::string(1, marker) + std::to_string(number) + "\n"
                : std::string(1, marker) + std::to_string(number);
  }
  return kind_ == request_kind::kStream ? text + "data: [DONE]\n" : text;
}

std::string fault_run::Check() {
  TrackAttempts();
  if (path_.system->in_flight() != 0) return "a request was never ended";
  for (const auto& [id, record] : path_.callers.records) {
    if (id != a_ && id != b_) return "an unknown caller was answered";
  }
  std::string wrong = CheckCaller(b_, 'B');
  if (wrong.empty()) wrong = CheckClaim(b_, 'B');
  if (wrong.empty()) wrong = CheckClaim(a_, 'A');
  if (wrong.empty() && !caller_gone_) wrong = CheckCaller(a_, 'A');
  return wrong;
}

std::string fault_run::CheckCaller(request_id id, char marker) {
  const caller_record& caller = path_.Caller(id);
  if (!caller.HasEnded()) return std::string(1, marker) + ": not exactly one answer";
  const std::string got =
      kind_ == request_kind::kStream ? request_path::DataOf(caller.body) : caller.body;
  const bool is_complete = got == CompleteAnswer(marker);
  if (caller.LooksComplete() && !is_complete)
    return std::string(1, marker) + ": looks complete, is not";
  if (!caller.LooksComplete() && caller.body.find("[DONE]") != std::string::npos) {
    return std::string(1, marker) + ": [DONE] on a truncated stream";
  }
  bool started = false;
  for (const attempt_state& one : attempts_) started |= one.marker == marker && one.started;
  const bool says_not_run = caller.body.find("\"outcome\":\"not_run\"") != std::string::npos;
  if (says_not_run && started) return std::string(1, marker) + ": not_run was reported, but it ran";
  return {};
}

std::string fault_run::CheckClaim(request_id id, char marker) {
  if (kind_ != request_kind::kPayment) return {};
  int runs = 0;
  for (const attempt_state& one : attempts_) runs += one.marker == marker && one.started;
  if (runs > 1) return std::string(1, marker) + ": a payment ran twice";
  const claim_record& claim = path_.claims.records[id];
  const int wanted = claim.granted ? 1 : 0;
  if (claim.Reports() != wanted) return std::string(1, marker) + ": not one report of the claim";
  if (claim.not_run == 1 && runs != 0) return std::string(1, marker) + ": claim reported not run";
  if (claim.done == 1 && claim.answer.body != CompleteAnswer(marker))
    return "a wrong answer was stored";
  return {};
}

}  // namespace hawthorndrum
