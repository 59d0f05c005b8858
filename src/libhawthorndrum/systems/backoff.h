/// Exponential backoff with jitter.
#pragma once

#include <cstdint>

#include "base/units.h"

namespace hawthorndrum {

class random_source;

/** `first`, doubled with each failure, at most `longest`. */
duration ExponentialDelay(std::uint32_t failures, duration first, duration longest);

/** Between half and all of the exponential delay, so that many daemons don't retry together. */
duration JitteredDelay(std::uint32_t failures, duration first, duration longest,
                       random_source& random);

}  // namespace hawthorndrum
