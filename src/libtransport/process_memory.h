/// Reads how much memory this process uses.
#pragma once

#include <cstddef>

namespace hawthorndrum {

/** Returns the process's resident memory in bytes; 0 if it cannot be read. */
std::size_t ResidentBytes();

}  // namespace hawthorndrum
