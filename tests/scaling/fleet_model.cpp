/// Queueing, orders and losses of the modelled fleet.
#include "fleet_model.h"

#include <algorithm>
#include <cmath>

namespace hawthorndrum {

namespace {

const char* const kCentres[] = {"east", "north", "west"};
const double kPrices[] = {0.85, 1.2, 1.0};

}  // namespace

fleet_model::fleet_model()
    : controller(*this, *this, *this, clock, random, metrics, log), none_until_(3), lost_(3) {
  limits.min = 1;
  limits.max = 40;
  limits.start_time = kStart;
  limits.reclaimable_price = 0.22;
  for (std::size_t i = 0; i < 3; ++i) limits.prices[kCentres[i]] = kPrices[i];
}

bool fleet_model::Serves(const upstream& each) const {
  return clock.Now() >= each.serves_at && each.leaves_at == time_point::max();
}

std::uint32_t fleet_model::Serving() const {
  return static_cast<std::uint32_t>(std::count_if(
      upstreams_.begin(), upstreams_.end(), [&](const upstream& each) { return Serves(each); }));
}

std::uint32_t fleet_model::Count(bool reclaimable) const {
  return static_cast<std::uint32_t>(std::count_if(
      upstreams_.begin(), upstreams_.end(),
      [&](const upstream& each) { return each.reclaimable == reclaimable && Serves(each); }));
}

std::vector<scaled_service> fleet_model::Services(time_point) {
  scaled_service service{"llm", limits, {}, {observed_, 0}};
  for (std::size_t i = 0; i < 3; ++i) {
    centre_counts counts{kCentres[i]};
    for (const upstream& each : upstreams_) {
      if (each.centre != i || !Serves(each)) continue;
      ++(each.reclaimable ? counts.reclaimable : counts.lasting);
    }
    service.centres.push_back(counts);
  }
  return {service};
}

std::optional<duty_terms> fleet_model::TermsFor(time_point now) const {
  if (!may_act) return std::nullopt;
  return duty_terms{lease_term(1), now + seconds(1)};
}

void fleet_model::SetCount(std::size_t centre, bool reclaimable, std::uint32_t count) {
  std::uint32_t there = 0;
  for (upstream& each : upstreams_) {
    if (each.centre != centre || each.reclaimable != reclaimable) continue;
    if (each.leaves_at != time_point::max()) continue;
    if (++there > count) each.leaves_at = clock.Now() + kDrain;
  }
  for (; there < count; ++there) {
    upstreams_.push_back({centre, reclaimable, clock.Now() + kStart});
  }
}

void fleet_model::OrderUpstreams(duty_call_id call, const upstream_order& order, const duty_terms&,
                                 duty_listener&) {
  orders.push_back(order);
  const auto centre = static_cast<std::size_t>(
      std::find(std::begin(kCentres), std::end(kCentres), order.data_centre) - kCentres);
  std::uint32_t there = 0;
  for (const upstream& each : upstreams_) {
    there += each.centre == centre && each.reclaimable == order.reclaimable &&
             each.leaves_at == time_point::max();
  }
  const bool none = lost_[centre] ||
                    (order.reclaimable && (none_reclaimable || clock.Now() < none_until_[centre]));
  if (none && order.count > there)
    return answers_.emplace_back(call, duty_outcome::kNoneAvailable), void();
  SetCount(centre, order.reclaimable, order.count);
  const bool lost = lost_answers > 0 && lost_answers-- > 0;
  answers_.emplace_back(call, lost ? duty_outcome::kUnknown : duty_outcome::kAccepted);
}

void fleet_model::Reclaim(std::size_t centre, duration none_for) {
  none_until_[centre] = clock.Now() + none_for;
  for (upstream& each : upstreams_) {
    if (each.centre == centre && each.reclaimable) each.leaves_at = clock.Now();
  }
}

void fleet_model::Lose(std::size_t centre) {
  lost_[centre] = true;
  for (upstream& each : upstreams_) {
    if (each.centre == centre) each.leaves_at = clock.Now();
  }
}

model_result fleet_model::Run(double length, std::function<void(fleet_model&, double)> each_tick,
                              std::function<void(fleet_model&, double)> events) {
  for (std::size_t i = 0; i < 3; ++i) {
    for (std::uint32_t k = 0; k < at_start; ++k) upstreams_.push_back({i, false, clock.Now()});
  }
  controller.SetFirst(true);
  model_result result;
  double arrived = 0;
  const double tick = ToSeconds(kTick);
  for (double t = -lead_seconds; t < length; t += tick) {
    clock.Advance(kTick);
    if (events) events(*this, t);
    const double work = t < 0 ? 0 : load(t);
    // The daemons' average has a time constant of two seconds.
    observed_ += (1 - std::exp(-tick / 2)) * (work - observed_);
    each_tick(*this, t);
    for (const auto& [call, outcome] : std::exchange(answers_, {})) {
      controller.OnDutyAnswer(call, outcome);
    }
    const double capacity = std::max<double>(Serving(), 1e-3);
    queued_ = std::max(0.0, queued_ + (work - capacity) * tick);
    arrived += work * tick;
    const double refused = std::max(0.0, queued_ - 3 * capacity);
    queued_ -= refused;
    result.refused += refused;
    if (queued_ > capacity) result.late += work * tick;
    for (const upstream& each : upstreams_) {
      if (clock.Now() >= each.leaves_at) continue;
      result.cost +=
          kPrices[each.centre] * (each.reclaimable ? limits.reclaimable_price : 1) * tick;
    }
  }
  result.late /= arrived;
  result.refused /= arrived;
  result.orders = static_cast<int>(orders.size());
  return result;
}

}  // namespace hawthorndrum
