/// The digest by which immutable content is named and checked.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace hawthorndrum {

/**
 * The first 128 bits of SHA-256. All zero stands for "no content".
 */
struct content_digest {
  static constexpr std::size_t kBytes = 16;

  std::array<std::uint8_t, kBytes> bytes{};

  /** The digest of the text. */
  static content_digest Of(std::string_view text);
  /** Reads 32 small hexadecimal digits; returns false and leaves the target when they aren't. */
  static bool FromHex(std::string_view hex, content_digest& target);

  std::string ToHex() const;
  bool empty() const { return bytes == std::array<std::uint8_t, kBytes>{}; }

  friend bool operator==(const content_digest& a, const content_digest& b) {
    return a.bytes == b.bytes;
  }
  friend bool operator!=(const content_digest& a, const content_digest& b) { return !(a == b); }
  friend bool operator<(const content_digest& a, const content_digest& b) {
    return a.bytes < b.bytes;
  }
};

}  // namespace hawthorndrum
