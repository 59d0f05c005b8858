/// The steps of leases and orders, and the faults that are injected at each of them.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "authority_bench.h"

namespace hawthorndrum {

/** A step in the course of a lease or an order; `reached` returns whether the bench is there. */
struct matrix_step {
  std::string name;
  std::function<bool(authority_bench&)> reached;
  /** Whether the first holder is killed once the engine has the order; another then adopts it. */
  bool after_adoption = false;
};

/** A fault; `holder` is the daemon that holds, or last held, the lease. */
struct matrix_fault {
  std::string name;
  std::function<void(authority_bench&, int holder)> inject;
};

std::vector<matrix_step> MatrixSteps();
std::vector<matrix_fault> MatrixFaults();

/** Runs one cell; returns the violations, or an empty string. */
std::string RunMatrixCell(const matrix_step& step, const std::vector<matrix_fault>& faults,
                          bool checks_fencing);

}  // namespace hawthorndrum
