/// Tests the guarantees of the request path under a fault matrix and random sequences of faults.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <cstdio>
#include <sstream>

#include "fault_run.h"

namespace hawthorndrum {
namespace {

constexpr std::array<const char*, kSteps> kStepNames = {"claiming", "queued", "sent",
                                                        "head",     "middle", "over"};
constexpr std::array<const char*, kFaults> kFaultNames = {
    "crash",   "cut unsent", "refused", "malformed", "pause",       "late answer", "duplicate",
    "foreign", "report lag", "leaving", "config",    "daemon stop", "caller gone"};

/** More faults at once may exhaust a request's attempts. */
constexpr std::size_t kMaxFaultsAnswered = 2;

bool Applies(request_kind kind, request_step step) {
  return step != request_step::kClaiming || kind == request_kind::kPayment;
}

std::string RunOne(request_kind kind, request_step step, const std::vector<fault_kind>& faults) {
  fault_run run(kind);
  run.AdvanceTo(step);
  for (const fault_kind fault : faults) run.Apply(fault);
  run.RunToEnd();
  const std::string wrong = run.Check();
  if (!wrong.empty()) return wrong;
  if (faults.size() <= kMaxFaultsAnswered && run.MustAnswer(faults) && !run.Answered()) {
    return "A was not answered";
  }
  return {};
}

std::string Describe(int kind, int step, const std::vector<fault_kind>& faults) {
  std::ostringstream text;
  text << "kind " << kind << " at " << kStepNames[static_cast<std::size_t>(step)] << ":";
  for (const fault_kind fault : faults) text << " " << kFaultNames[static_cast<std::size_t>(fault)];
  return text.str();
}

/// Each step x each fault alone, and each step x each two faults at once, for each kind of request.
TEST(FaultMatrix, KeepsItsPromisesAtEachStep) {
  int total = 0;
  std::array<std::array<int, kFaults>, kSteps> runs{};
  for (int kind = 0; kind < kKinds; ++kind) {
    for (int step = 0; step < kSteps; ++step) {
      const auto of_kind = static_cast<request_kind>(kind);
      const auto at_step = static_cast<request_step>(step);
      if (!Applies(of_kind, at_step)) continue;
      for (int first = 0; first < kFaults; ++first) {
        for (int second = -1; second < kFaults; ++second) {
          std::vector<fault_kind> faults = {static_cast<fault_kind>(first)};
          if (second >= 0) faults.push_back(static_cast<fault_kind>(second));
          EXPECT_EQ(RunOne(of_kind, at_step, faults), "") << Describe(kind, step, faults);
          runs[static_cast<std::size_t>(step)][static_cast<std::size_t>(first)] += 1;
          total += 1;
        }
      }
    }
  }
  std::printf("%-9s", "");
  for (const char* name : kFaultNames) std::printf(" %11s", name);
  std::printf("\n");
  for (std::size_t step = 0; step < kSteps; ++step) {
    std::printf("%-9s", kStepNames[step]);
    for (const int count : runs[step]) std::printf(" %11d", count);
    std::printf("\n");
  }
  std::printf("fault matrix: %d runs (4 kinds of request; each fault alone and with each other)\n",
              total);
}

RC_GTEST_PROP(FaultMatrix, AnySequenceOfFaultsKeepsThePromises, ()) {
  const int kind = *rc::gen::inRange(0, kKinds);
  const int step = *rc::gen::inRange(0, kSteps);
  RC_PRE(Applies(static_cast<request_kind>(kind), static_cast<request_step>(step)));
  std::vector<fault_kind> faults;
  for (const int fault : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, kFaults))) {
    faults.push_back(static_cast<fault_kind>(fault));
  }
  const std::string wrong =
      RunOne(static_cast<request_kind>(kind), static_cast<request_step>(step), faults);
  if (!wrong.empty()) RC_FAIL(wrong + " " + Describe(kind, step, faults));
}

}  // namespace
}  // namespace hawthorndrum
