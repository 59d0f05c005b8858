/// The interface that handles events.
#pragma once

#include "systems/event.h"

namespace hawthorndrum {

class event_receiver {
 public:
  virtual ~event_receiver() = default;
  virtual void Receive(event new_event) = 0;
};

}  // namespace hawthorndrum
