/// Implements the random port with a generator seeded by the operating system.
#pragma once

#include <random>

#include "ports/random_source.h"

namespace hawthorndrum {

class system_random_source : public random_source {
 public:
  std::uint64_t Draw() override {
    const std::uint64_t value = engine_();
    return value == 0 ? 1 : value;
  }

 private:
  static std::mt19937_64 Seeded() {
    std::random_device device;
    std::seed_seq seeds{device(), device(), device(), device(), device(), device()};
    return std::mt19937_64(seeds);
  }

  std::mt19937_64 engine_ = Seeded();
};

}  // namespace hawthorndrum
