/// Estimates of what frames and HTTP calls cost on the wire, headers of lower layers included.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace hawthorndrum {

/** IPv4 header, and TCP header with timestamps. */
constexpr std::uint64_t kTcpIpHeaderBytes = 20 + 32;
constexpr std::uint64_t kTcpSegmentBytes = 1448;
/** A receiver holds back a bare acknowledgement this long, hoping for data to carry it. */
constexpr duration kDelayedAck = milliseconds(40);

/** A websocket frame with its TCP/IP headers; masked frames go from the dialling side. */
constexpr std::uint64_t WireBytesOfFrame(std::size_t payload, bool masked) {
  std::uint64_t header = payload < 126 ? 2 : payload < 65536 ? 4 : 10;
  if (masked) header += 4;
  const std::uint64_t whole = payload + header;
  const std::uint64_t segments = (whole + kTcpSegmentBytes - 1) / kTcpSegmentBytes;
  return whole + segments * kTcpIpHeaderBytes;
}

/** One small HTTP call on a kept connection: request, answer, one bare acknowledgement. */
constexpr std::uint64_t WireBytesOfHttpCall(std::size_t request, std::size_t answer) {
  return request + answer + 3 * kTcpIpHeaderBytes;
}

}  // namespace hawthorndrum
