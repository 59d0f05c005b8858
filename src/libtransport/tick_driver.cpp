/// Runs the core's ticks on an io_context.
#include "tick_driver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "base/metrics_registry.h"
#include "ports/clock.h"

namespace hawthorndrum {

namespace {
constexpr duration kMaxInterval = milliseconds(100);
}

tick_driver::tick_driver(boost::asio::io_context& io, event_receiver& receiver, const clock& time,
                         metrics_registry& metrics)
    : io_(io), timer_(io), clock_(time), ticks_(metrics.Counter("ticks_total")), loop_(receiver) {}

void tick_driver::Start() { StartTimer(); }

void tick_driver::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void tick_driver::Post(event new_event) {
  loop_.Post(std::move(new_event));
  Schedule();
}

void tick_driver::Schedule() {
  if (scheduled_ || stopped_) return;
  scheduled_ = true;
  boost::asio::post(io_, [this] {
    scheduled_ = false;
    Tick();
  });
}

void tick_driver::Tick() {
  if (stopped_) return;
  ticks_.Add();
  loop_.Tick(clock_.Now());
}

void tick_driver::StartTimer() {
  timer_.expires_after(kMaxInterval);
  timer_.async_wait([this](boost::system::error_code failed) {
    if (failed || stopped_) return;
    Tick();
    StartTimer();
  });
}

}  // namespace hawthorndrum
