/// Estimates of the bytes on the wire of frames and HTTP calls, including TCP/IP headers.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace hawthorndrum {

/** IPv4 header, and TCP header with timestamps. */
constexpr std::uint64_t kTcpIpHeaderBytes = 20 + 32;
constexpr std::uint64_t kTcpSegmentBytes = 1448;
/** Time for which a receiver delays a bare acknowledgement to piggyback it on data. */
constexpr duration kDelayedAck = milliseconds(40);

/** Returns the size of a websocket frame with TCP/IP headers. Only the dialling side masks. */
constexpr std::uint64_t WireBytesOfFrame(std::size_t payload, bool masked) {
  std::uint64_t header = payload < 126 ? 2 : payload < 65536 ? 4 : 10;
  if (masked) header += 4;
  const std::uint64_t frame_bytes = payload + header;
  const std::uint64_t segments = (frame_bytes + kTcpSegmentBytes - 1) / kTcpSegmentBytes;
  return frame_bytes + segments * kTcpIpHeaderBytes;
}

/** Returns the size of a small HTTP call on a persistent connection: request, answer, one ACK. */
constexpr std::uint64_t WireBytesOfHttpCall(std::size_t request, std::size_t answer) {
  return request + answer + 3 * kTcpIpHeaderBytes;
}

}  // namespace hawthorndrum
