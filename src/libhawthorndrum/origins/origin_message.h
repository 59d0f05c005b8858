/// What daemons tell and ask each other about the origins of streams, in one datagram.
#pragma once

#include <boost/core/span.hpp>
#include <cstdint>
#include <vector>

#include "base/error.h"
#include "origins/stream_origin.h"

namespace hawthorndrum {

enum class origin_message_kind : std::uint8_t {
  /** The sender delivered the first event of these streams. */
  kRecord,
  /** The sender wants to know the origin of these streams. */
  kQuestion,
  /** The answer; streams that the sender does not know have no build. */
  kAnswer,
};

struct origin_message {
  origin_message_kind kind = origin_message_kind::kRecord;
  /** At most kMaxOrigins. */
  std::vector<stream_origin> origins;

  static constexpr std::size_t kMaxOrigins = 64;
};

/** Encodes to CBOR; origins beyond kMaxOrigins are dropped. */
std::vector<std::uint8_t> EncodeOriginMessage(const origin_message& message);
/** Returns kInvalid unless the bytes are a well-formed message of the current format version. */
expected<origin_message> DecodeOriginMessage(boost::span<const std::uint8_t> bytes);

}  // namespace hawthorndrum
