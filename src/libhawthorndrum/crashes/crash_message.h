/// What daemons tell each other about crashes of upstreams, in one datagram.
#pragma once

#include <boost/core/span.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/error.h"
#include "base/units.h"
#include "crashes/suspect_row.h"

namespace hawthorndrum {

enum class crash_message_kind : std::uint8_t {
  /** Evidence that the sender has received or found. */
  kEvidence,
  /** The sender has started, or was held up, and wants to know all convictions. */
  kQuestion,
  /** The answer; without rows if nothing is convicted. */
  kAnswer,
};

struct crash_message {
  /** The losses of a row that are sent, the latest ones. */
  static constexpr std::size_t kMaxLosses = 6;
  /** A message is complete when another row would make it longer. */
  static constexpr std::size_t kMaxBytes = 340;

  crash_message_kind kind = crash_message_kind::kEvidence;
  std::vector<suspect_row> rows;

  /** Returns whether a row still fits. */
  bool HasRoomFor(const suspect_row& row) const;
};

/** Encodes to CBOR. Times become ages, since daemons' clocks differ. */
std::vector<std::uint8_t> EncodeCrashMessage(const crash_message& message, time_point now);
/** Returns kInvalid unless the bytes are a well-formed message of the current format version. */
expected<crash_message> DecodeCrashMessage(boost::span<const std::uint8_t> bytes, time_point now);

}  // namespace hawthorndrum
