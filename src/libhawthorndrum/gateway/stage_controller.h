/// Sends orders that move engines to the stage that the plan assigns them.
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
 * Every daemon has one; only the holder of the lease acts. An order names the engine's instance, so
 * that it has no effect on another instance at the same address.
 *
 * Invariants: an order is sent only while the lease is valid, and not before kTakeoverPause after
 * the lease was acquired, when the previous holder's orders can no longer arrive; an engine has at
 * most one open order.
 */
class stage_controller : public system, public order_listener {
 public:
  /** The previous holder may have sent orders until its lease expired. */
  static constexpr duration kTakeoverPause = milliseconds(3500);

  stage_controller(gateway& served, const lease_system& lease, engine_port& engines,
                   const clock& time, random_source& random, event_log& log);

  void Run(time_point now) override;
  void OnOrderAnswer(const order_answer& answer) override;

 private:
  struct open_change {
    engine_stage stage = engine_stage::kPrefill;
    order_id order;
    /** By then the other daemons know that the engine takes no new work. */
    time_point send_at;
    /**
     * When the change is no longer waited for, even if the order's outcome is unknown; another
     * order may then be sent.
     */
    time_point timeout_at;
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
