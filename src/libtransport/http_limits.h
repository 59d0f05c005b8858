/// Limits on what an HTTP server accepts.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/units.h"

namespace hawthorndrum {

/**
 * Sizes are in bytes. The connection of a caller that sends its header or body too slowly, or reads
 * its answer too slowly, is closed.
 */
struct http_limits {
  /** No more than 65,535 are taken, whatever is set. */
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  std::size_t connections = 12000;
  /** The maximum number of unsent bytes buffered for one connection. */
  std::size_t unsent_bytes = 8 * 1024 * 1024;
  duration header_timeout = seconds(10);
  duration body_timeout = seconds(30);
  duration idle_timeout = seconds(60);
  duration write_timeout = seconds(30);
};

}  // namespace hawthorndrum
