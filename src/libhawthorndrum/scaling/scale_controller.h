/// Orders upstreams from the platform as the demand requires.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "duties/duty_listener.h"
#include "scaling/demand_history.h"
#include "scaling/fleet_outlook.h"
#include "scaling/scaled_fleet.h"
#include "scaling/upstream_plan.h"
#include "systems/system.h"

namespace hawthorndrum {

class clock;
class duty_authority;
class duty_port;
class event_log;
class metrics_registry;
class random_source;

/**
 * Every daemon observes the load; only the holder of the duty orders. What was ordered is not
 * stored: an order names the whole number, so it can be repeated, and a new holder takes the
 * upstreams that the host list shows for what was ordered.
 *
 * Invariants: each kind in each data centre has at most one open order; nothing is ordered before
 * the upstreams that a former holder ordered have had the time to start.
 */
class scale_controller : public system, public duty_listener, public fleet_outlook {
 public:
  scale_controller(scaled_fleet& fleet, const duty_authority& authority, duty_port& platform,
                   const clock& time, random_source& random, metrics_registry& metrics,
                   event_log& log);

  /** Sets that no daemon ordered before this one, so nothing of a former holder is waited for. */
  void SetFirst(bool first) { first_ = first; }
  void Run(time_point now) override;
  void OnDutyAnswer(duty_call_id call, duty_outcome outcome) override;
  bool IsChanging(std::string_view service, time_point now) const override;
  planned_fleet Planned(std::string_view service) const override;

 private:
  struct kind_orders {
    std::uint32_t present = 0;
    std::uint32_t ordered = 0;
    /** What the open order replaces. */
    std::uint32_t before = 0;
    /** Set while an order is open. */
    duty_call_id open;
    bool was_ordered = false;
    bool is_unanswered = false;
    bool is_missing_some = false;
    /** No order is sent before. */
    time_point retry_at;
    time_point starts_until;
    time_point goes_until;
    time_point none_until;
    /** How long the platform is not asked after it had none. */
    duration none_for{0};
  };
  struct centre_orders {
    kind_orders lasting;
    kind_orders reclaimable;
    std::uint32_t size = 0;
  };
  struct service_orders {
    demand_history demand;
    std::map<std::string, centre_orders> centres;
    /** Whether `ordered` was derived from the host list in this holding. */
    bool is_derived = false;
    /** What the last plan comes to when all its steps are carried out. */
    planned_fleet planned;
    time_point seen_at;
    time_point reduced_at;
  };

  void PlanService(const scaled_service& service, time_point now);
  void CountPresent(const scaled_service& service, service_orders& orders);
  std::vector<centre_state> StatesOf(const service_orders& orders, time_point now) const;
  /** Adds upstreams of a new fleet that were listed late. */
  void AdoptLate(service_orders& orders);
  void Repeat(const scaled_service& service, service_orders& orders, time_point now);
  void Order(const scaled_service& service, service_orders& orders, const scale_step& step,
             time_point now);
  kind_orders* FindOpen(duty_call_id call);

  scaled_fleet& fleet_;
  const duty_authority& authority_;
  duty_port& platform_;
  const clock& time_;
  random_source& random_;
  metrics_registry& metrics_;
  event_log& log_;
  std::map<std::string, service_orders, std::less<>> services_;
  bool first_ = false;
  bool holds_ = false;
  time_point held_since_;
  time_point planned_at_;
};

}  // namespace hawthorndrum
