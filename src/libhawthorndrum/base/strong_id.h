/// A strongly typed identifier: ids of different kinds can't be mixed up.
#pragma once

#include <cstdint>
#include <functional>

namespace hawthorndrum {

/**
 * An identifier of the kind that Tag names. The value 0 means "none".
 */
template <typename Tag>
class strong_id {
 public:
  constexpr strong_id() = default;
  constexpr explicit strong_id(std::uint64_t value) : value_(value) {}

  constexpr std::uint64_t value() const { return value_; }
  constexpr explicit operator bool() const { return value_ != 0; }

  friend constexpr bool operator==(strong_id a, strong_id b) { return a.value_ == b.value_; }
  friend constexpr bool operator!=(strong_id a, strong_id b) { return a.value_ != b.value_; }
  friend constexpr bool operator<(strong_id a, strong_id b) { return a.value_ < b.value_; }

 private:
  std::uint64_t value_ = 0;
};

}  // namespace hawthorndrum

template <typename Tag>
struct std::hash<hawthorndrum::strong_id<Tag>> {
  std::size_t operator()(hawthorndrum::strong_id<Tag> id) const noexcept {
    return std::hash<std::uint64_t>{}(id.value());
  }
};
