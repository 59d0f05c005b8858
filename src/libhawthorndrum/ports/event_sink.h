/// The way in for what happens outside.
#pragma once

#include "systems/event.h"

namespace hawthorndrum {

/**
 * Takes events. They are handled at the next tick, in the order in which they were posted.
 */
class event_sink {
 public:
  virtual ~event_sink() = default;
  virtual void Post(event happened) = 0;
};

}  // namespace hawthorndrum
