/// The interface of everything that the daemon runs each tick.
#pragma once

#include "base/units.h"

namespace hawthorndrum {

/**
 * A part of the core that decides. It is pure: it reads tables, takes typed events through its own
 * methods, and acts only through ports.
 */
class system {
 public:
  virtual ~system() = default;
  /** Runs once a tick, after the tick's events were given out. */
  virtual void Run(time_point now) = 0;
};

}  // namespace hawthorndrum
