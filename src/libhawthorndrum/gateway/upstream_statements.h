/// What one instance of an upstream has said about itself in its answers to this daemon.
#pragma once

#include <optional>

#include "base/units.h"

namespace hawthorndrum {

/** Takes precedence over the host list, and is valid until the instance has ended. */
struct upstream_statements {
  /** When it first said that it finishes its requests and accepts no new ones. */
  std::optional<time_point> leaving_since;

  bool IsWorthKeeping() const { return leaving_since.has_value(); }
};

}  // namespace hawthorndrum
