/// CBOR for messages between daemons. Decoding is bounded and reports errors without exceptions.
#pragma once

#include <boost/core/span.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "base/error.h"

namespace hawthorndrum {

/** The maximum nesting depth of containers; the decoder recurses once per level. */
constexpr int kMaxCborDepth = 16;

/** Returns whether the bytes are exactly one well-formed item of at most kMaxCborDepth levels. */
bool IsBoundedCbor(boost::span<const std::uint8_t> bytes);

/** Decodes the bytes as one item; returns kInvalid if they are malformed or exceed the depth. */
expected<nlohmann::json> DecodeCbor(boost::span<const std::uint8_t> bytes);

std::vector<std::uint8_t> EncodeCbor(const nlohmann::json& value);

}  // namespace hawthorndrum
