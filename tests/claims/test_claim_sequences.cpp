/// Random sequences of events and faults over two and three daemons; checks the invariants after
/// each step.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <cstdio>

#include "claim_fleet.h"

namespace hawthorndrum {
namespace {

enum class step_kind {
  kClaim,
  kTick,
  kRunStore,
  kLoseAnswer,
  kLeaveUnanswered,
  kRefuse,
  kLandLate,
  kDeliver,
  kRepeatMessage,
  kDropMessage,
  kAdvance,
  kRun,
  kReportUnsent,
  kReportUnknown,
  kForget,
  kKill,
  kPause,
  kResume,
  kCut,
  kHeal,
  kLookups,
  kCount,
};

struct step {
  step_kind kind = step_kind::kTick;
  unsigned a = 0;
  unsigned b = 0;
};

/** Steps that make progress are drawn more often than faults, so that claims do get granted. */
constexpr std::array<step_kind, 14> kProgress = {
    step_kind::kClaim,    step_kind::kTick,     step_kind::kTick,    step_kind::kTick,
    step_kind::kRunStore, step_kind::kRunStore, step_kind::kDeliver, step_kind::kRunStore,
    step_kind::kDeliver,  step_kind::kAdvance,  step_kind::kRun,     step_kind::kDeliver,
    step_kind::kClaim,    step_kind::kTick};

// RapidCheck finds the function by this name.
void showValue(const step& s, std::ostream& out) {  // NOLINT(readability-identifier-naming)
  out << "{" << static_cast<int>(s.kind) << "," << s.a << "," << s.b << "}";
}

rc::Gen<step> AnyStep() {
  const auto last = static_cast<unsigned>(step_kind::kCount);
  const auto kinds = last + 5U * static_cast<unsigned>(kProgress.size());
  return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0U, kinds), rc::gen::inRange(0U, 1000U),
                                     rc::gen::inRange(0U, 1000U)),
                      [last](const std::tuple<unsigned, unsigned, unsigned>& drawn) {
                        const auto [kind, a, b] = drawn;
                        if (kind < last) return step{static_cast<step_kind>(kind), a, b};
                        return step{kProgress[(kind - last) % kProgress.size()], a, b};
                      });
}

/** Executes steps on a fleet. */
class step_runner {
 public:
  step_runner(int daemons, const claim_options& options) : fleet_(daemons, options) {}

  claim_fleet& fleet() { return fleet_; }

  void Execute(const step& s) {
    const int daemon = static_cast<int>(s.a) % fleet_.size();
    switch (s.kind) {
      case step_kind::kClaim:
        if (!fleet_.at(daemon).paused) Claim(daemon, s.b);
        return;
      case step_kind::kTick:
        fleet_.Tick(daemon);
        return;
      case step_kind::kAdvance:
        Advance(s);
        return;
      case step_kind::kKill:
        if (s.b % 4 == 0) Kill(daemon);
        return;
      case step_kind::kPause:
        fleet_.Pause(daemon);
        return;
      case step_kind::kResume:
        fleet_.Resume(daemon);
        return;
      case step_kind::kCut:
      case step_kind::kHeal:
        fleet_.Cut(daemon, (daemon + 1) % fleet_.size(), s.kind == step_kind::kCut);
        return;
      case step_kind::kLookups:
        fleet_.AnswerLookups();
        return;
      case step_kind::kRun:
      case step_kind::kReportUnsent:
      case step_kind::kReportUnknown:
      case step_kind::kForget:
        if (!fleet_.at(daemon).paused) EndRequest(daemon, s);
        return;
      case step_kind::kDeliver:
      case step_kind::kRepeatMessage:
      case step_kind::kDropMessage:
        Message(s);
        return;
      default:
        Store(s);
        return;
    }
  }

  /** Ends all faults and runs the fleet until every claim has its decision. */
  void Recover() {
    for (int i = 0; i < fleet_.size(); ++i) {
      fleet_.Resume(i);
      for (int j = 0; j < i; ++j) fleet_.Cut(i, j, false);
    }
    fleet_.Settle(700);
  }

 private:
  void Claim(int daemon, unsigned b) {
    const claim_name name{b % 2 == 0 ? "pay" : "book", "k" + std::to_string(b / 2 % 2)};
    const std::uint64_t digest = b % 17 == 0 ? 2 : 1;
    fleet_.Claim(daemon, name, digest, milliseconds(200 + 10 * (b % 400)), b % 3 == 0);
  }

  /** Advances each daemon's clock at its own speed, up to a tenth apart. */
  void Advance(const step& s) {
    const auto base = milliseconds(1 + s.b % (s.a % 5 == 0 ? 3000 : 60));
    for (int i = 0; i < fleet_.size(); ++i) fleet_.at(i).clock.Advance(base + base * i / 20);
  }

  /** Kills a daemon; some of its granted requests have reached the service before. */
  void Kill(int daemon) {
    for (const request_id request : fleet_.at(daemon).granted) {
      if (request.value() % 2 == 0) fleet_.Run(request);
    }
    fleet_.Kill(daemon);
  }

  void EndRequest(int daemon, const step& s) {
    fleet_daemon& d = fleet_.at(daemon);
    if (s.kind == step_kind::kForget) {
      if (d.open.empty()) return;
      d.claims->Forget(d.open[s.b % d.open.size()]);
      return;
    }
    if (d.granted.empty()) return;
    const auto position = d.granted.begin() + static_cast<std::ptrdiff_t>(s.b % d.granted.size());
    const request_id request = *position;
    d.granted.erase(position);
    if (s.kind == step_kind::kReportUnsent) {
      d.claims->ReportNotRun(request);
    } else if (s.kind == step_kind::kReportUnknown) {
      if (s.b % 2 == 0) fleet_.Run(request);
      d.claims->ReportUnknown(request);
    } else {
      fleet_.Finish(daemon, request);
    }
  }

  void Message(const step& s) {
    auto& messages = fleet_.messages();
    if (messages.empty()) return;
    const std::size_t position = s.b % messages.size();
    if (s.kind == step_kind::kDropMessage) {
      messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(position));
    } else if (s.kind == step_kind::kRepeatMessage) {
      messages.push_back(messages[position]);
    } else if (!fleet_.at(messages[position].to).paused) {
      fleet_.Deliver(position);
    }
  }

  void Store(const step& s) {
    fake_object_store& store = fleet_.store();
    if (s.kind == step_kind::kLandLate) {
      auto& late = fleet_.late_writes();
      if (late.empty()) return;
      const std::size_t position = s.b % late.size();
      store.Apply(late[position]);
      late.erase(late.begin() + static_cast<std::ptrdiff_t>(position));
      return;
    }
    if (store.waiting().empty()) return;
    const std::size_t position = s.b % store.waiting().size();
    switch (s.kind) {
      case step_kind::kLoseAnswer:
        store.RunAtLosingAnswer(position);
        return;
      case step_kind::kLeaveUnanswered:
        fleet_.late_writes().push_back(store.DelayAt(position));
        return;
      case step_kind::kRefuse:
        store.FailAt(position, store_outcome::kRefused);
        return;
      default:
        store.RunAt(position);
        return;
    }
  }

  claim_fleet fleet_;
};

/** Executes the steps; returns the first broken invariant. */
std::string ExecuteAll(step_runner& runner, const std::vector<step>& steps) {
  for (const step& s : steps) {
    runner.Execute(s);
    const std::string violations = runner.fleet().Violations();
    if (!violations.empty()) return violations;
  }
  runner.Recover();
  const std::string violations = runner.fleet().Violations();
  if (!violations.empty()) return violations;
  return {};
}

std::size_t grants_seen = 0;
std::size_t runs_seen = 0;
std::size_t sequences_executed = 0;

/** Executes one sequence, ends all faults, and checks that every daemon grants claims again. */
void CheckOne(int daemons, bool forward) {
  claim_options options;
  options.layout = {2, 2};
  // So small that every done record is moved to the archive.
  options.commit.archive_above = 100;
  options.commit.move_retry = milliseconds(50);
  options.forward = forward;
  step_runner runner(daemons, options);
  const auto steps =
      *rc::gen::resize(600, rc::gen::container<std::vector<step>>(AnyStep())).as("steps");
  RC_ASSERT(ExecuteAll(runner, steps) == "");
  for (int i = 0; i < daemons; ++i) {
    // An attempt that is still open may wait only for its own request to end.
    for (const claim_attempt& attempt : runner.fleet().at(i).claims->attempts()) {
      RC_ASSERT(attempt.phase == claim_phase::kGranted);
    }
  }
  for (int i = 0; i < daemons; ++i) {
    const request_id fresh = runner.fleet().Claim(i, {"pay", "fresh-" + std::to_string(i)});
    runner.fleet().Settle(200);
    RC_ASSERT(runner.fleet().ledger().decisions.count(fresh) == 1U);
    RC_ASSERT(runner.fleet().ledger().decisions.at(fresh).verdict == claim_verdict::kGranted);
  }
  for (const auto& [request, decision] : runner.fleet().ledger().decisions) {
    if (decision.verdict == claim_verdict::kGranted) grants_seen += 1;
  }
  runs_seen += runner.fleet().ledger().ran.size();
  sequences_executed += 1;
}

/** RapidCheck runs a hundred cases per property; each case runs kSequences sequences. */
void CheckSequences(int daemons, bool forward) {
  constexpr int kSequences = 6;
  for (int i = 0; i < kSequences; ++i) CheckOne(daemons, forward);
}

RC_GTEST_PROP(ClaimSequences, TwoDaemonsDirect, ()) { CheckSequences(2, false); }
RC_GTEST_PROP(ClaimSequences, TwoDaemonsForwarding, ()) { CheckSequences(2, true); }
RC_GTEST_PROP(ClaimSequences, ThreeDaemonsDirect, ()) { CheckSequences(3, false); }
RC_GTEST_PROP(ClaimSequences, ThreeDaemonsForwarding, ()) { CheckSequences(3, true); }

TEST(ClaimSequences, TheSequencesRanRequests) {
  std::printf("sequences %zu, grants %zu, runs %zu\n", sequences_executed, grants_seen, runs_seen);
  EXPECT_GT(runs_seen, sequences_executed);
}

}  // namespace
}  // namespace hawthorndrum
