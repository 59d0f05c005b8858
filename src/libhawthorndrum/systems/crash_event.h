/// Identifies the loss of an upstream.
#pragma once

#include <cstdint>

#include "base/ids.h"

namespace hawthorndrum {

/**
 * The end of one incarnation of an upstream. Daemons that lose the same incarnation name the same
 * event.
 */
struct crash_event {
  upstream_id upstream;
  std::uint64_t incarnation = 0;

  friend bool operator==(const crash_event& a, const crash_event& b) {
    return a.upstream == b.upstream && a.incarnation == b.incarnation;
  }
};

}  // namespace hawthorndrum
