/// Exponential backoff with jitter.
#pragma once

#include <cstdint>

#include "base/units.h"

namespace hawthorndrum {

class random_source;

/** Returns `first`, doubled with each failure, up to `longest`. */
duration ExponentialDelay(std::uint32_t failures, duration first, duration longest);

/**
 * Returns a random delay between half and all of the exponential delay, so that daemons don't
 * retry simultaneously.
 */
duration JitteredDelay(std::uint32_t failures, duration first, duration longest,
                       random_source& random);

}  // namespace hawthorndrum
