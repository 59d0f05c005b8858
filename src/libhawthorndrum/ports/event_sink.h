/// The port through which external events enter the core.
#pragma once

#include "systems/event.h"

namespace hawthorndrum {

/**
 * Queues events; the next tick handles them in the order in which they were posted.
 */
class event_sink {
 public:
  virtual ~event_sink() = default;
  virtual void Post(event new_event) = 0;
};

}  // namespace hawthorndrum
