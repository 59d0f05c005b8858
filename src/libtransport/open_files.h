/// The number of files and sockets that this process may have open.
#pragma once

#include <cstdint>

namespace hawthorndrum {

/**
 * Raises the soft limit to the hard one, since a system's default is often far below what the
 * settings allow, and returns how many of the `wanted` files may be open. Returns `wanted` where
 * the limits cannot be read.
 */
std::uint32_t RaiseOpenFiles(std::uint32_t wanted);

}  // namespace hawthorndrum
