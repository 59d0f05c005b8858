/// CBOR as it is read from other daemons: bounded, and never by exceptions.
#pragma once

#include <boost/core/span.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "base/error.h"

namespace hawthorndrum {

/** Containers may be nested this deep; the decoder recurses once for each level. */
constexpr int kMaxCborDepth = 16;

/** Whether the bytes are exactly one well-formed item nested no deeper than kMaxCborDepth. */
bool IsBoundedCbor(boost::span<const std::uint8_t> bytes);

/** Decodes one item that fills the bytes; kInvalid when they are anything else. */
expected<nlohmann::json> DecodeCbor(boost::span<const std::uint8_t> bytes);

std::vector<std::uint8_t> EncodeCbor(const nlohmann::json& value);

}  // namespace hawthorndrum
