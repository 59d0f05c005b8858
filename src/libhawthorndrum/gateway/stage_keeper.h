/// Orders engines to the stage that the plan wants them in.
#pragma once

#include <map>
#include <string>

#include "gateway/stage_plan.h"
#include "ports/engine_port.h"
#include "systems/system.h"

namespace hawthorndrum {

class clock;
class event_log;
class gateway;
class lease_system;
class random_source;

/**
 * Every daemon has one; only the lease's holder acts. An order names the start of the engine, so
 * that it has no effect on another one at the same address.
 *
 * Invariants: an order leaves only while the lease is trusted, and not before kTurnPause after it
 * was taken, when orders of the holder before can no longer arrive; an engine has at most one open
 * order.
 */
class stage_keeper : public system, public order_listener {
 public:
  /** The holder before may have sent an order up to the end of its trust. */
  static constexpr duration kTurnPause = milliseconds(3500);

  stage_keeper(gateway& served, const lease_system& lease, engine_port& engines, const clock& time,
               random_source& random, event_log& log);

  void Run(time_point now) override;
  void OnOrderAnswer(const order_answer& answer) override;

 private:
  struct open_change {
    engine_stage stage = engine_stage::kPrefill;
    order_id order;
    /** The others have heard by then that the engine takes no new work. */
    time_point send_at;
    /** Nothing is known of the order's end after this, and another may be given. */
    time_point over_at;
    bool sent = false;
  };

  void CloseEnded(time_point now);
  void OpenNew(time_point now);
  void SendDue(time_point now);
  void Send(upstream_id engine, open_change& change, time_point now);

  gateway& gateway_;
  const lease_system& lease_;
  engine_port& engines_;
  const clock& time_;
  random_source& random_;
  event_log& log_;
  std::map<upstream_id, open_change> open_;
  time_point held_since_;
  bool held_ = false;
  time_point next_plan_;
};

}  // namespace hawthorndrum
