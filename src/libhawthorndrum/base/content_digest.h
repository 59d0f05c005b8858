/// The digest that identifies immutable content and verifies it.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace hawthorndrum {

/**
 * The first 128 bits of a SHA-256 digest. All zeros means "no content".
 */
struct content_digest {
  static constexpr std::size_t kBytes = 16;

  std::array<std::uint8_t, kBytes> bytes{};

  /** Computes the digest of the text. */
  static content_digest Of(std::string_view text);
  /** Parses 32 lowercase hexadecimal digits; returns false and keeps `target` for other input. */
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
