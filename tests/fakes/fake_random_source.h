/// Seeded random numbers, the same on every run.
#pragma once

#include <random>

#include "ports/random_source.h"

namespace hawthorndrum {

class fake_random_source : public random_source {
 public:
  explicit fake_random_source(std::uint64_t seed = 1) : engine_(seed) {}

  std::uint64_t Draw() override {
    const std::uint64_t value = engine_();
    return value == 0 ? 1 : value;
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace hawthorndrum
