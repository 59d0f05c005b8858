/// Sends orders for upstreams and tracks what became of them.
#include "scaling/scale_controller.h"

#include <algorithm>

#include "base/log_record.h"
#include "base/metrics_registry.h"
#include "duties/duty_authority.h"
#include "duties/duty_port.h"
#include "duties/lease_authority.h"
#include "ports/clock.h"
#include "ports/event_log.h"
#include "ports/random_source.h"

namespace hawthorndrum {

namespace {

constexpr duration kPlanPeriod = milliseconds(500);
/** From the start of an upstream until the daemons have it in their lists. */
constexpr duration kListingTime = seconds(2);
/** Under load, what is left takes the work over before more upstreams go. */
constexpr duration kReduceGap = seconds(6);
/** Upstreams that go are out of the list of those that take work within this. */
constexpr duration kGoingTime = seconds(2);
constexpr duration kRetryRefused = seconds(1);
constexpr duration kRetryUnknown = seconds(2);
/** After the platform had none, it is asked again so much later, then twice as much, and so on. */
constexpr duration kRetryNone = seconds(3);
constexpr duration kMaxRetryNone = seconds(12);
/** Ordered upstreams may be missing for a moment, as they crash and start again. */
constexpr duration kRepeatMissing = seconds(5);
/** A daemon that takes the duty orders, if at all, within this; see IsChanging. */
constexpr duration kFirstPlan = seconds(10);

std::string_view NameOf(duty_outcome outcome) {
  switch (outcome) {
    case duty_outcome::kAccepted:
      return "accepted";
    case duty_outcome::kRefused:
      return "refused";
    case duty_outcome::kNoneAvailable:
      return "none_available";
    case duty_outcome::kNotSent:
      return "not_sent";
    case duty_outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

scale_controller::scale_controller(scaled_fleet& fleet, const duty_authority& authority,
                                   duty_port& platform, const clock& time, random_source& random,
                                   metrics_registry& metrics, event_log& log)
    : fleet_(fleet),
      authority_(authority),
      platform_(platform),
      time_(time),
      random_(random),
      metrics_(metrics),
      log_(log) {}

void scale_controller::Run(time_point now) {
  if (now - planned_at_ < kPlanPeriod) return;
  planned_at_ = now;
  const bool holds = authority_.TermsFor(now).has_value();
  if (holds != holds_) {
    holds_ = holds;
    held_since_ = now;
    for (auto& [name, orders] : services_) {
      orders.is_derived = false;
      orders.centres.clear();
    }
  }
  for (const scaled_service& service : fleet_.Services(now)) {
    const auto [found, is_new] = services_.try_emplace(service.name);
    service_orders& orders = found->second;
    if (is_new) orders.seen_at = now;
    orders.demand.Observe(service.load, now);
    if (holds && fleet_.IsComplete(now)) PlanService(service, now);
  }
}

void scale_controller::CountPresent(const scaled_service& service, service_orders& orders) {
  for (auto& [name, centre] : orders.centres) {
    centre.lasting.present = centre.reclaimable.present = 0;
  }
  for (const centre_counts& counted : service.centres) {
    centre_orders& centre = orders.centres[counted.name];
    centre.lasting.present = counted.lasting;
    centre.reclaimable.present = counted.reclaimable;
  }
}

std::vector<centre_state> scale_controller::StatesOf(const service_orders& orders,
                                                     time_point now) const {
  const auto state_of = [&](const kind_orders& kind) {
    kind_state state;
    state.present = kind.present;
    state.ordered = kind.ordered;
    state.available = now >= kind.none_until && now >= kind.retry_at && !kind.open;
    state.starting = now < kind.starts_until || kind.open;
    return state;
  };
  std::vector<centre_state> states;
  for (const auto& [name, centre] : orders.centres) {
    states.push_back({name, state_of(centre.lasting), state_of(centre.reclaimable), centre.size});
  }
  return states;
}

void scale_controller::PlanService(const scaled_service& service, time_point now) {
  service_orders& orders = services_[service.name];
  CountPresent(service, orders);
  if (!orders.is_derived) {
    // The former holder's last order is older than the pause before this one may act.
    const duration wait =
        first_ ? duration(0)
               : service.limits.start_time + kListingTime - lease_authority::kTakeoverPause;
    if (now - held_since_ < wait) return;
    orders.is_derived = true;
    for (auto& [name, centre] : orders.centres) {
      centre.lasting.ordered = centre.lasting.present;
      centre.reclaimable.ordered = centre.reclaimable.present;
      // Those of an exchange that the former holder began count twice until the load decides.
      centre.size = SizeOf(service.limits, orders.centres.size(), centre.lasting.present,
                           centre.reclaimable.present);
    }
  }
  AdoptLate(orders);
  Repeat(service, orders, now);
  const plan_demand demand{orders.demand.mean(), orders.demand.peak(), orders.demand.saw_load(),
                           orders.demand.is_known(now)};
  const bool may_reduce = !demand.seen || now - orders.reduced_at >= kReduceGap;
  const scale_plan plan = PlanUpstreams(service.limits, StatesOf(orders, now), demand, may_reduce);
  auto size = plan.sizes.begin();
  for (auto& [name, centre] : orders.centres) centre.size = *size++;
  orders.planned = plan.fleet;
  for (const scale_step& step : plan.steps) {
    centre_orders& centre = orders.centres[step.data_centre];
    const kind_orders& kind = step.reclaimable ? centre.reclaimable : centre.lasting;
    if (kind.open || now < kind.retry_at) continue;
    if (step.wanted < step.before) orders.reduced_at = now;
    Order(service, orders, step, now);
  }
}

void scale_controller::AdoptLate(service_orders& orders) {
  for (auto& [name, centre] : orders.centres) {
    kind_orders& kind = centre.lasting;
    if (kind.was_ordered || kind.present <= kind.ordered) continue;
    centre.size += kind.present - kind.ordered;
    kind.ordered = kind.present;
  }
}

void scale_controller::Repeat(const scaled_service& service, service_orders& orders,
                              time_point now) {
  for (auto& [name, centre] : orders.centres) {
    for (const bool reclaimable : {false, true}) {
      kind_orders& kind = reclaimable ? centre.reclaimable : centre.lasting;
      if (kind.open || now < kind.retry_at || now < kind.none_until) continue;
      const scale_step same{
          name, reclaimable, kind.ordered, kind.ordered,
          kind.is_unanswered ? scale_reason::kUnanswered : scale_reason::kMissing};
      const bool misses = kind.present < kind.ordered && now >= kind.starts_until;
      // Seen twice, since the list may be read in the middle of a change.
      const bool still_misses = misses && kind.is_missing_some;
      kind.is_missing_some = misses;
      if (kind.is_unanswered || still_misses) Order(service, orders, same, now);
    }
  }
}

void scale_controller::Order(const scaled_service& service, service_orders& orders,
                             const scale_step& step, time_point now) {
  const auto terms = authority_.TermsFor(now);
  if (!terms) return;
  centre_orders& centre = orders.centres[step.data_centre];
  kind_orders& kind = step.reclaimable ? centre.reclaimable : centre.lasting;
  kind.before = kind.ordered;
  kind.ordered = step.wanted;
  kind.open = duty_call_id(random_.Draw());
  kind.is_unanswered = false;
  kind.was_ordered = true;
  const bool adds = step.wanted > kind.present;
  kind.retry_at = now + (step.reason == scale_reason::kMissing ? kRepeatMissing : duration(0));
  if (adds) kind.starts_until = now + service.limits.start_time + kListingTime;
  kind.goes_until = now + kGoingTime;
  log_.Write(log_importance::kImportant,
             log_record("upstreams_ordered")
                 .Text("service", service.name)
                 .Text("data_centre", step.data_centre)
                 .Flag("reclaimable", step.reclaimable)
                 .Number("present", kind.present)
                 .Number("before", step.before)
                 .Number("wanted", step.wanted)
                 .Text("reason", NameOf(step.reason))
                 .Decimal("prefill_load", orders.demand.mean().prefill)
                 .Decimal("prefill_peak", orders.demand.peak().prefill)
                 .Decimal("running_load", orders.demand.mean().running)
                 .Decimal("running_peak", orders.demand.peak().running));
  metrics_.Counter("upstreams_ordered_total", MetricLabel("reason", NameOf(step.reason))).Add();
  platform_.OrderUpstreams(
      kind.open, {service.name, step.data_centre, step.wanted, step.reclaimable}, *terms, *this);
}

scale_controller::kind_orders* scale_controller::FindOpen(duty_call_id call) {
  for (auto& [name, orders] : services_) {
    for (auto& [data_centre, centre] : orders.centres) {
      for (kind_orders* kind : {&centre.lasting, &centre.reclaimable}) {
        if (kind->open && kind->open == call) return kind;
      }
    }
  }
  return nullptr;
}

void scale_controller::OnDutyAnswer(duty_call_id call, duty_outcome outcome) {
  const time_point now = time_.Now();
  kind_orders* kind = FindOpen(call);
  // The lease was lost meanwhile.
  if (kind == nullptr) return;
  kind->open = duty_call_id();
  log_.Write(log_importance::kImportant, log_record("upstreams_order_answered")
                                             .Text("outcome", NameOf(outcome))
                                             .Number("wanted", kind->ordered));
  metrics_.Counter("upstreams_orders_answered_total", MetricLabel("outcome", NameOf(outcome)))
      .Add();
  if (outcome == duty_outcome::kAccepted) {
    kind->none_for = duration(0);
    return;
  }
  if (outcome == duty_outcome::kUnknown) {
    kind->is_unanswered = true;
    kind->retry_at = now + kRetryUnknown;
    return;
  }
  kind->ordered = kind->before;
  kind->starts_until = now;
  if (outcome == duty_outcome::kNoneAvailable) {
    kind->none_for = std::clamp<duration>(2 * kind->none_for, kRetryNone, kMaxRetryNone);
    kind->none_until = now + kind->none_for;
  } else {
    kind->retry_at = now + kRetryRefused;
  }
}

planned_fleet scale_controller::Planned(std::string_view service) const {
  const auto found = services_.find(service);
  const bool is_known = found != services_.end() && found->second.is_derived;
  return is_known ? found->second.planned : planned_fleet();
}

bool scale_controller::IsChanging(std::string_view service, time_point now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return false;
  const service_orders& orders = found->second;
  if (!orders.is_derived) return now < orders.seen_at + kFirstPlan;
  for (const auto& [name, centre] : orders.centres) {
    for (const kind_orders* kind : {&centre.lasting, &centre.reclaimable}) {
      const bool comes = kind->present < kind->ordered && now < kind->starts_until;
      const bool goes = kind->present > kind->ordered && now < kind->goes_until;
      if (comes || goes) return true;
    }
  }
  return false;
}

}  // namespace hawthorndrum
