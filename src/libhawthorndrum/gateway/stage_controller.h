/// Sends orders that move engines to the stage that the plan assigns them.
#pragma once

#include <map>
#include <string>

#include "gateway/stage_plan.h"
#include "gateway/stage_planner.h"
#include "ports/engine_port.h"
#include "systems/system.h"

namespace hawthorndrum {

class clock;
class event_log;
class fleet_outlook;
class gateway;
struct gateway_service;
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
                   const clock& time, random_source& random, event_log& log,
                   const stage_plan_limits& limits);

  /** Sets what tells whether engines are being exchanged; null where nothing does. */
  void SetOutlook(const fleet_outlook* outlook) { outlook_ = outlook; }
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

  /** The plan for one service. */
  struct service_plan {
    explicit service_plan(const stage_plan_limits& limits) : planner(limits) {}

    stage_planner planner;
    bool saw_load = false;
    /** The engines of the last plan, and when they can be taken for all engines of a new fleet. */
    std::size_t engines = 0;
    time_point complete_at;
    /** The last number of prefill engines that was logged. */
    std::size_t logged = 0;
  };

  void CloseEnded(time_point now);
  /** Plans every service, and opens the changes unless it is too early for orders. */
  void Plan(bool may_order, time_point now);
  void PlanService(const gateway_service& service, duration elapsed, bool may_order,
                   time_point now);
  /** Returns how many engines should prefill. */
  std::size_t WantedPrefill(service_plan& plan, const std::vector<planned_engine>& engines,
                            stage_load load, duration elapsed, time_point now) const;
  std::vector<planned_engine> EnginesOf(const gateway_service& service, time_point now) const;
  stage_load LoadOf(const gateway_service& service, time_point now) const;
  /**
   * While engines of a new fleet are exchanged, changes only those that are known to stay, so that
   * the stages of the planned fleet are right. The others could serve meanwhile, so they change
   * together.
   */
  void PlanExchange(const gateway_service& service, const service_plan& plan,
                    const std::vector<planned_engine>& engines, time_point now);
  void OpenChanges(const std::vector<stage_change>& changes, std::vector<planned_engine>& engines,
                   stage_load load, std::size_t limit, time_point now);
  void Open(const stage_change& change, time_point now);
  void SendDue(time_point now);
  void Send(upstream_id engine, open_change& change, time_point now);

  gateway& gateway_;
  const lease_system& lease_;
  engine_port& engines_;
  const clock& time_;
  random_source& random_;
  event_log& log_;
  stage_plan_limits limits_;
  const fleet_outlook* outlook_ = nullptr;
  std::map<std::string, service_plan> plans_;
  std::map<upstream_id, open_change> open_;
  time_point held_since_;
  bool held_ = false;
  time_point planned_at_;
};

}  // namespace hawthorndrum
