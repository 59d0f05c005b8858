/// The fault matrix: every step of lease, order and role change, under one fault and under two.
#include <gtest/gtest.h>

#include <cstdio>

#include "fault_matrix.h"

namespace hawthorndrum {
namespace {

/** The cells of one step: how many ran, how many had violations, and the first of these. */
struct step_result {
  int cells = 0;
  int broken = 0;
  std::string first;
};

void RunCell(const matrix_step& step, const std::vector<matrix_fault>& faults, bool checks,
             step_result& result) {
  ++result.cells;
  const std::string violations = RunMatrixCell(step, faults, checks);
  if (violations.empty()) return;
  ++result.broken;
  if (!result.first.empty()) return;
  result.first = checks ? "[checks] " : "[ignores] ";
  for (const matrix_fault& fault : faults) result.first += fault.name + " + ";
  result.first += ": " + violations;
}

int RunMatrix(bool pairs, bool checks) {
  const std::vector<matrix_fault> faults = MatrixFaults();
  int cells = 0;
  std::printf("%-52s %6s %6s   engine %s fencing numbers, %s\n", "step", "cells", "broken",
              checks ? "checks" : "ignores", pairs ? "two faults" : "one fault");
  for (const matrix_step& step : MatrixSteps()) {
    step_result result;
    for (std::size_t a = 0; a < faults.size(); ++a) {
      if (!pairs) RunCell(step, {faults[a]}, checks, result);
      for (std::size_t b = a + 1; pairs && b < faults.size(); ++b) {
        RunCell(step, {faults[a], faults[b]}, checks, result);
      }
    }
    cells += result.cells;
    std::printf("%-52s %6d %6d %s\n", step.name.c_str(), result.cells, result.broken,
                result.first.c_str());
    EXPECT_EQ(result.broken, 0) << step.name << ": " << result.first;
  }
  std::printf("%-52s %6d\n", "all", cells);
  return cells;
}

TEST(FaultMatrix, OneFaultEngineChecks) { EXPECT_GT(RunMatrix(false, true), 0); }
TEST(FaultMatrix, OneFaultEngineIgnores) { EXPECT_GT(RunMatrix(false, false), 0); }
TEST(FaultMatrix, TwoFaultsEngineChecks) { EXPECT_GT(RunMatrix(true, true), 0); }
TEST(FaultMatrix, TwoFaultsEngineIgnores) { EXPECT_GT(RunMatrix(true, false), 0); }

}  // namespace
}  // namespace hawthorndrum
