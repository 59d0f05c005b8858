/// Message authentication codes (HMAC-SHA256).
#pragma once

#include <array>
#include <boost/core/span.hpp>
#include <cstdint>

namespace hawthorndrum {

using mac_value = std::array<std::uint8_t, 32>;

mac_value HmacSha256(boost::span<const std::uint8_t> key, boost::span<const std::uint8_t> bytes);

/** Compares in constant time: the time does not depend on the contents. */
bool ConstantTimeEquals(boost::span<const std::uint8_t> a, boost::span<const std::uint8_t> b);

}  // namespace hawthorndrum
