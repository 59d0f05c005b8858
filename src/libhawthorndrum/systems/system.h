/// The interface of everything that the daemon runs each tick.
#pragma once

#include "base/units.h"

namespace hawthorndrum {

/**
 * A component of the core's decision logic. It does no I/O itself: it reads tables, receives typed
 * events through its own methods, and acts only through ports.
 */
class system {
 public:
  virtual ~system() = default;
  /** Runs once per tick, after the tick's events were dispatched. */
  virtual void Run(time_point now) = 0;
};

}  // namespace hawthorndrum
