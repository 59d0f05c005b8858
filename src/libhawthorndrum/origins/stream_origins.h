/// The origins of streams, as far as the daemons remember them together.
#pragma once

#include <optional>

#include "base/units.h"
#include "origins/stream_origin.h"

namespace hawthorndrum {

class stream_origins {
 public:
  virtual ~stream_origins() = default;

  /** Remembers the origin here and at some other daemons. */
  virtual void Record(const stream_origin& origin, time_point now) = 0;
  /** Returns what this daemon itself remembers. */
  virtual std::optional<software_build> Find(stream_key key, time_point now) const = 0;
  /** Asks other daemons; the result is reported later, within a fraction of a second. */
  virtual void Ask(stream_key key, time_point now) = 0;
};

}  // namespace hawthorndrum
