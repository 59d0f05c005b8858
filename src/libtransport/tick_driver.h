/// Runs the core's ticks on an io_context.
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "ports/event_sink.h"
#include "systems/tick_loop.h"

namespace hawthorndrum {

class clock;
class counter;
class metrics_registry;

/**
 * Runs a tick after every event as soon as the thread is free, and at least every 100 ms.
 */
class tick_driver : public event_sink {
 public:
  tick_driver(boost::asio::io_context& io, event_receiver& receiver, const clock& time,
              metrics_registry& metrics);

  tick_loop& loop() { return loop_; }
  void Start();
  void Stop();
  void Post(event new_event) override;

 private:
  void Schedule();
  void Tick();
  void StartTimer();

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  const clock& clock_;
  counter& ticks_;
  tick_loop loop_;
  bool scheduled_ = false;
  bool stopped_ = false;
};

}  // namespace hawthorndrum
