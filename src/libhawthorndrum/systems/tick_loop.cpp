/// One tick: events first, then every system.
#include "systems/tick_loop.h"

#include <utility>

#include "systems/event_receiver.h"
#include "systems/system.h"

namespace hawthorndrum {

void tick_loop::Tick(time_point now) {
  std::vector<event> taken;
  taken.swap(queue_);
  for (event& new_event : taken) receiver_.Receive(std::move(new_event));
  for (system* each : systems_) each->Run(now);
}

}  // namespace hawthorndrum
