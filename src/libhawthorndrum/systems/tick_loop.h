/// The daemon's main loop: dispatches queued events and runs the systems in a fixed order.
#pragma once

#include <vector>

#include "base/units.h"
#include "ports/event_sink.h"

namespace hawthorndrum {

class event_receiver;
class system;

/**
 * Queues events until the next tick. A tick dispatches the events that were queued when it began,
 * then runs every system once, in the order in which they were added.
 */
class tick_loop : public event_sink {
 public:
  explicit tick_loop(event_receiver& receiver) : receiver_(receiver) {}

  /** Adds a system that runs after those added before; it must outlive the loop. */
  void Add(system& added) { systems_.push_back(&added); }
  void Post(event new_event) override { queue_.push_back(std::move(new_event)); }
  void Tick(time_point now);

  bool has_events() const { return !queue_.empty(); }

 private:
  event_receiver& receiver_;
  std::vector<system*> systems_;
  std::vector<event> queue_;
};

}  // namespace hawthorndrum
