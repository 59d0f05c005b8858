/// Computes digests with OpenSSL.
#include "base/content_digest.h"

#include <openssl/sha.h>

#include <algorithm>

namespace hawthorndrum {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

}  // namespace

content_digest content_digest::Of(std::string_view text) {
  std::array<std::uint8_t, SHA256_DIGEST_LENGTH> full_digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), full_digest.data());
  content_digest digest;
  std::copy_n(full_digest.begin(), kBytes, digest.bytes.begin());
  return digest;
}

bool content_digest::FromHex(std::string_view hex, content_digest& target) {
  if (hex.size() != 2 * kBytes) return false;
  content_digest digest;
  for (std::size_t i = 0; i < hex.size(); ++i) {
    const std::size_t value = kHexDigits.find(hex[i]);
    if (value == std::string_view::npos) return false;
    std::uint8_t& byte = digest.bytes[i / 2];
    byte = static_cast<std::uint8_t>((byte << 4) | value);
  }
  target = digest;
  return true;
}

std::string content_digest::ToHex() const {
  std::string hex;
  hex.reserve(2 * kBytes);
  for (const std::uint8_t byte : bytes) {
    hex.push_back(kHexDigits[byte >> 4]);
    hex.push_back(kHexDigits[byte & 15]);
  }
  return hex;
}

}  // namespace hawthorndrum
