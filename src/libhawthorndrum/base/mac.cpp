/// Computes HMACs with OpenSSL.
#include "base/mac.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>

namespace hawthorndrum {

mac_value HmacSha256(boost::span<const std::uint8_t> key, boost::span<const std::uint8_t> bytes) {
  mac_value value{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes.data(), bytes.size(),
       value.data(), &size);
  return value;
}

bool ConstantTimeEquals(boost::span<const std::uint8_t> a, boost::span<const std::uint8_t> b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace hawthorndrum
