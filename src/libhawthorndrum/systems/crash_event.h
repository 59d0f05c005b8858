/// The loss of an upstream together with the requests that it was running.
#pragma once

#include <cstdint>

#include "base/ids.h"

namespace hawthorndrum {

/**
 * One run of an upstream that ended. Daemons that lose the same run name the same event.
 */
struct crash_event {
  upstream_id upstream;
  std::uint64_t incarnation = 0;

  friend bool operator==(const crash_event& a, const crash_event& b) {
    return a.upstream == b.upstream && a.incarnation == b.incarnation;
  }
};

}  // namespace hawthorndrum
