/// A small arithmetic model of a fleet whose upstreams are ordered: three data centres, one queue.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/metrics_registry.h"
#include "duties/duty_authority.h"
#include "duties/duty_listener.h"
#include "duties/duty_port.h"
#include "fake_clock.h"
#include "fake_random_source.h"
#include "recording_log.h"
#include "scaling/scale_controller.h"

namespace hawthorndrum {

/** What callers got and what it cost, in the price of an upstream that can't be reclaimed. */
struct model_result {
  double late = 0;
  double refused = 0;
  double cost = 0;
  int orders = 0;
};

/**
 * Work arrives at the load's rate, in upstreams that it keeps busy, and waits in one queue. Work
 * that waits for more than a second is late, for more than three is refused.
 */
class fleet_model : public scaled_fleet, public duty_port, public duty_authority {
 public:
  static constexpr duration kTick = milliseconds(100);
  static constexpr duration kStart = seconds(4);
  static constexpr duration kDrain = seconds(3);

  /** A load by the time since the start; traffic begins after `lead`. */
  std::function<double(double)> load;
  double lead_seconds = 14;
  std::uint32_t at_start = 20;

  fleet_model();

  /** Takes away all reclaimable ones of a data centre, `after` from now; none start meanwhile. */
  void Reclaim(std::size_t centre, duration none_for);
  /** Takes away all of a data centre for good. */
  void Lose(std::size_t centre);
  /** Orders for reclaimable ones are answered that there are none. */
  bool none_reclaimable = false;
  /** The next calls are carried out and not answered. */
  int lost_answers = 0;
  bool may_act = true;

  /** Runs for some time; `each_tick` decides instead of the controller if it is set. */
  model_result Run(double seconds, std::function<void(fleet_model&, double)> each_tick,
                   std::function<void(fleet_model&, double)> events = nullptr);

  /** Sets how many there should be, for policies other than the controller. */
  void SetCount(std::size_t centre, bool reclaimable, std::uint32_t count);
  std::uint32_t Count(bool reclaimable) const;
  std::uint32_t Serving() const;
  double ObservedLoad() const { return observed_; }
  void RunController() { controller.Run(clock.Now()); }

  // scaled_fleet
  std::vector<scaled_service> Services(time_point now) override;
  bool IsComplete(time_point) const override { return true; }
  // duty_port
  void ReportUsage(duty_call_id, const usage_report&, const duty_terms&, duty_listener&) override {}
  void OrderUpstreams(duty_call_id call, const upstream_order& order, const duty_terms& terms,
                      duty_listener& listener) override;
  // duty_authority
  std::optional<duty_terms> TermsFor(time_point now) const override;

  fake_clock clock;
  fake_random_source random;
  metrics_registry metrics;
  recording_log log;
  scale_limits limits;
  scale_controller controller;
  std::vector<upstream_order> orders;

 private:
  struct upstream {
    std::size_t centre = 0;
    bool reclaimable = false;
    time_point serves_at;
    time_point leaves_at = time_point::max();
  };
  bool Serves(const upstream& each) const;

  std::vector<upstream> upstreams_;
  std::vector<time_point> none_until_;
  std::vector<bool> lost_;
  std::vector<std::pair<duty_call_id, duty_outcome>> answers_;
  double observed_ = 0;
  double queued_ = 0;
};

}  // namespace hawthorndrum
