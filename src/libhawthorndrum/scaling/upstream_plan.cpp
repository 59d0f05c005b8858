/// Sizes a fleet by its load and by what may be lost at once.
#include "scaling/upstream_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hawthorndrum {

namespace {

/** Bursts of some seconds end before a new upstream serves, so there is always room for one. */
constexpr double kBurst = 1.7;
/** The highest utilisation at which callers don't wait noticeably. */
constexpr double kFullShare = 0.85;
/** A fleet that is larger than this many times the plan is reduced. */
constexpr double kTooMany = 1.3;
/** What a fleet that grows gets beyond the plan, so that a rising load takes few orders. */
constexpr double kGrowth = 1.2;
/** What a reduced fleet keeps beyond the plan, so that the next swing doesn't order again. */
constexpr double kKeptBeyond = 1.1;
/** The share of upstreams that the platform can't reclaim. */
constexpr double kLastingShare = 0.05;

std::uint32_t CeilOf(double value) { return static_cast<std::uint32_t>(std::ceil(value - 1e-9)); }

bool ReclaimablePays(const scale_limits& limits, std::size_t centres) {
  if (centres < 2) return false;
  const double spread = static_cast<double>(centres) / static_cast<double>(centres - 1);
  return limits.reclaimable_price * spread < 1;
}

/** How many a data centre should have of both kinds. */
std::uint32_t WantedIn(const centre_state& centre, double needed, const scale_limits& limits,
                       const plan_demand& demand) {
  const std::uint32_t size = std::clamp(centre.size, limits.min, limits.max);
  if (!demand.seen) return size;
  const std::uint32_t enough = std::clamp(CeilOf(needed), limits.min, limits.max);
  if (size < enough) return std::clamp(CeilOf(needed * kGrowth), limits.min, limits.max);
  if (!demand.known || size <= CeilOf(needed * kTooMany) + 1) return size;
  return std::clamp(CeilOf(needed * kKeptBeyond), limits.min, size);
}

double PriceIn(const scale_limits& limits, const centre_state& centre) {
  const auto found = limits.prices.find(centre.name);
  return found == limits.prices.end() ? 1 : found->second;
}

/** Those that serve, or will soon. */
std::uint32_t Expected(const kind_state& kind) {
  return kind.starting ? std::max(kind.present, kind.ordered) : kind.present;
}

class planner {
 public:
  planner(const scale_limits& limits, const std::vector<centre_state>& centres,
          const plan_demand& demand, bool may_reduce)
      : limits_(limits), centres_(centres), demand_(demand), may_reduce_(may_reduce) {}

  scale_plan Plan() {
    const double load = UpstreamsFor(demand_);
    const auto count = static_cast<double>(centres_.size());
    const double needed = centres_.size() < 2 ? load : load / (count - 1);
    for (const centre_state& centre : centres_) PlanCentre(centre, needed);
    if (demand_.seen) FillShortage(load);
    return {std::move(steps_), std::move(sizes_)};
  }

 private:
  void PlanCentre(const centre_state& centre, double needed) {
    const std::uint32_t wanted = WantedIn(centre, needed, limits_, demand_);
    sizes_.push_back(wanted);
    std::uint32_t lasting = wanted;
    if (ReclaimablePays(limits_, centres_.size()) && wanted > 0) {
      lasting = std::max(1u, CeilOf(wanted * kLastingShare));
    }
    PlanReclaimable(centre, wanted - lasting);
    PlanLasting(centre, wanted, lasting);
  }

  void PlanReclaimable(const centre_state& centre, std::uint32_t wanted) {
    const kind_state& now = centre.reclaimable;
    const std::uint32_t others = centre.lasting.ordered;
    wanted = std::min(wanted, limits_.max - std::min(limits_.max, others));
    if (wanted > now.ordered && now.available) {
      const bool grows = centre.size < sizes_.back();
      Add(centre, true, wanted, grows ? scale_reason::kLoad : scale_reason::kCheaperKind);
    } else if (wanted < now.ordered && demand_.known) {
      Reduce(centre, true, wanted, scale_reason::kLoad);
    }
  }

  void PlanLasting(const centre_state& centre, std::uint32_t wanted, std::uint32_t lasting) {
    const kind_state& now = centre.lasting;
    if (lasting > now.ordered && now.available) {
      Add(centre, false, lasting, scale_reason::kLoad);
      return;
    }
    const std::uint32_t replaced = std::min(wanted, centre.reclaimable.present);
    const std::uint32_t kept = std::max(lasting, wanted - replaced);
    if (kept < now.ordered) Reduce(centre, false, kept, scale_reason::kCheaperKind);
  }

  void Add(const centre_state& centre, bool reclaimable, std::uint32_t wanted,
           scale_reason reason) {
    const kind_state& now = reclaimable ? centre.reclaimable : centre.lasting;
    const auto found = std::find_if(steps_.begin(), steps_.end(), [&](const scale_step& each) {
      return each.data_centre == centre.name && each.reclaimable == reclaimable;
    });
    if (found == steps_.end()) {
      steps_.push_back({centre.name, reclaimable, now.ordered, wanted, reason});
    } else {
      found->wanted = std::max(found->wanted, wanted);
      found->reason = reason;
    }
  }

  /** Under load, only one data centre at a time. */
  void Reduce(const centre_state& centre, bool reclaimable, std::uint32_t wanted,
              scale_reason reason) {
    if (!may_reduce_) return;
    if (demand_.seen && !reduced_.empty() && reduced_ != centre.name) return;
    reduced_ = centre.name;
    const kind_state& now = reclaimable ? centre.reclaimable : centre.lasting;
    steps_.push_back({centre.name, reclaimable, now.ordered, wanted, reason});
  }

  /** Both kinds of a data centre, with the steps so far. */
  std::uint32_t OrderedWithSteps(const centre_state& centre) const {
    std::uint32_t sum = centre.ordered();
    for (const scale_step& each : steps_) {
      if (each.data_centre == centre.name) sum += each.wanted - each.before;
    }
    return sum;
  }

  /** Orders the missing ones where there is room, first those that cost less. */
  void FillShortage(double load) {
    std::uint32_t expected = 0;
    for (const centre_state& centre : centres_) {
      expected += Expected(centre.lasting) + Expected(centre.reclaimable);
    }
    for (const scale_step& each : steps_) {
      if (each.wanted > each.before) expected += each.wanted - each.before;
    }
    const std::uint32_t enough = CeilOf(load);
    if (expected >= enough) return;
    std::uint32_t missing = enough - expected;
    std::vector<const centre_state*> by_price;
    for (const centre_state& centre : centres_) by_price.push_back(&centre);
    std::stable_sort(by_price.begin(), by_price.end(), [&](const auto* a, const auto* b) {
      return PriceIn(limits_, *a) < PriceIn(limits_, *b);
    });
    for (const bool reclaimable : {true, false}) {
      if (reclaimable && !ReclaimablePays(limits_, centres_.size())) continue;
      for (std::size_t i = 0; i < by_price.size() && missing > 0; ++i) {
        const centre_state& centre = *by_price[i];
        const kind_state& now = reclaimable ? centre.reclaimable : centre.lasting;
        const std::uint32_t taken = OrderedWithSteps(centre);
        if (!now.available || taken >= limits_.max) continue;
        // Shared out, so that the next loss doesn't take all of them.
        const auto places = static_cast<std::uint32_t>(by_price.size() - i);
        const std::uint32_t share = (missing + places - 1) / places;
        const std::uint32_t more = std::min(share, limits_.max - taken);
        std::uint32_t base = now.ordered;
        for (const scale_step& each : steps_) {
          if (each.data_centre == centre.name && each.reclaimable == reclaimable) {
            base = each.wanted;
          }
        }
        Add(centre, reclaimable, base + more, scale_reason::kShortage);
        sizes_[static_cast<std::size_t>(&centre - centres_.data())] += more;
        missing -= more;
      }
    }
  }

  const scale_limits& limits_;
  const std::vector<centre_state>& centres_;
  const plan_demand& demand_;
  bool may_reduce_;
  std::vector<scale_step> steps_;
  std::vector<std::uint32_t> sizes_;
  /** The data centre that is reduced. */
  std::string reduced_;
};

}  // namespace

std::string_view NameOf(scale_reason reason) {
  switch (reason) {
    case scale_reason::kLoad:
      return "load";
    case scale_reason::kCheaperKind:
      return "cheaper_kind";
    case scale_reason::kShortage:
      return "shortage";
    case scale_reason::kMissing:
      return "missing";
    case scale_reason::kUnanswered:
      return "unanswered";
  }
  return "load";
}

double UpstreamsFor(const plan_demand& demand) {
  const double prefill = std::max(demand.peak.prefill, demand.mean.prefill * kBurst);
  const double running = std::max(demand.peak.running, demand.mean.running * kBurst);
  return (prefill + running) / kFullShare;
}

scale_plan PlanUpstreams(const scale_limits& limits, const std::vector<centre_state>& centres,
                         const plan_demand& demand, bool may_reduce) {
  return planner(limits, centres, demand, may_reduce).Plan();
}

}  // namespace hawthorndrum
