/// The value of one counter or gauge.
#pragma once

#include <cstdint>

namespace hawthorndrum {

/**
 * A counter that is incremented, or a gauge that is set. Not thread-safe.
 */
class counter {
 public:
  void Add(std::uint64_t amount = 1) { value_ += amount; }
  void Set(std::uint64_t value) { value_ = value; }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

}  // namespace hawthorndrum
