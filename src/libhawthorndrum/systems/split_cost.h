/// The cost of serving a demand with a given split of engines.
#pragma once

#include <cstddef>

namespace hawthorndrum {

/** What a planner minimises; the unit is up to the implementation. */
class split_cost {
 public:
  virtual ~split_cost() = default;

  /** Returns the cost of one second with that many engines in each role. */
  virtual double PerSecond(std::size_t prefill, std::size_t decode) const = 0;
};

}  // namespace hawthorndrum
