/// Sizes a fleet by its load and by what may be lost at once.
#include "scaling/upstream_plan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace hawthorndrum {

namespace {

/** Bursts of some seconds end before a new upstream serves, so there is always room for one. */
constexpr double kBurst = 1.7;
/** The highest utilisation at which callers don't wait noticeably. */
constexpr double kFullShare = 0.85;
/** What is left after a data centre is lost may be busier than that until others serve. */
constexpr double kFullShareOfRest = 0.95;
/** A fleet that is larger than this many times the plan is reduced. */
constexpr double kTooMany = 1.3;
/** With a smaller share of its upstreams, a data centre is short. */
constexpr double kMissing = 0.9;
/** What a fleet that grows gets beyond the plan, so that a rising load takes few orders. */
constexpr double kGrowth = 1.2;
/** What a reduced fleet keeps beyond the plan, so that the next swing doesn't order again. */
constexpr double kKeptBeyond = 1.1;
/**
 * The share of the size that the platform can't reclaim: two data centres may be reclaimed within
 * the time that an upstream takes to start.
 */
constexpr double kLastingShare = 0.4;

std::uint32_t CeilOf(double value) { return static_cast<std::uint32_t>(std::ceil(value - 1e-9)); }

/** What must be spread over that many data centres for one unit to be left without one of them. */
double SpreadOver(std::size_t centres) {
  return static_cast<double>(centres) / static_cast<double>(centres - 1);
}

bool ReclaimablePays(const scale_limits& limits, std::size_t centres) {
  return centres >= 2 && limits.reclaimable_price * SpreadOver(centres) < 1;
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

bool IsServing(const centre_state& centre) {
  return Expected(centre.lasting) + Expected(centre.reclaimable) > 0;
}

/** Whether ordered ones are starting, or missing in a data centre that serves. */
bool IsUnsettled(const centre_state& centre) {
  for (const kind_state* kind : {&centre.lasting, &centre.reclaimable}) {
    if (kind->starting && kind->present < kind->ordered) return true;
  }
  const std::uint32_t expected = Expected(centre.lasting) + Expected(centre.reclaimable);
  return expected > 0 && expected < centre.size * kMissing;
}

class planner {
 public:
  planner(const scale_limits& limits, const std::vector<centre_state>& centres,
          const plan_demand& demand, bool may_reduce)
      : limits_(limits), centres_(centres), demand_(demand), may_reduce_(may_reduce) {}

  scale_plan Plan() {
    const auto all = static_cast<double>(std::max<std::size_t>(1, centres_.size()));
    const auto serving = static_cast<double>(
        std::max<std::ptrdiff_t>(1, std::count_if(centres_.begin(), centres_.end(), IsServing)));
    // When a data centre is lost, the others carry the load, and a further loss is not borne.
    const bool has_spare = ReclaimablePays(limits_, centres_.size());
    const double load = LoadOnAll(demand_);
    const double needed = std::max(
        has_spare ? load / all : LoadWithALoss(demand_, centres_.size()) / all, load / serving);
    if (demand_.seen) {
      may_reduce_ = may_reduce_ && demand_.known &&
                    std::none_of(centres_.begin(), centres_.end(), IsUnsettled);
    }
    for (const centre_state& centre : centres_) PlanCentre(centre, needed);
    AddReductions();
    if (demand_.seen) FillShortage();
    return {std::move(steps_), std::move(sizes_), fleet_};
  }

 private:
  void PlanCentre(const centre_state& centre, double needed) {
    const std::uint32_t wanted = WantedIn(centre, needed, limits_, demand_);
    sizes_.push_back(wanted);
    std::uint32_t lasting = wanted;
    std::uint32_t reclaimable = 0;
    if (ReclaimablePays(limits_, centres_.size()) && wanted > 0) {
      // A load that isn't known yet is no reason to order what costs most.
      const std::uint32_t size = demand_.known ? wanted : std::min(wanted, centre.size);
      lasting = std::max(1u, CeilOf(size * kLastingShare));
      // Those of one data centre may go without a replacement.
      reclaimable = CeilOf((wanted - lasting) * SpreadOver(centres_.size()));
      reclaimable = std::min(reclaimable, limits_.max - lasting);
    }
    fleet_.lasting += lasting;
    fleet_.reclaimable += reclaimable;
    PlanReclaimable(centre, reclaimable);
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
    if (lasting > now.ordered) {
      const std::uint32_t more = std::min(lasting - now.ordered, RoomIn(centre));
      if (more > 0 && now.available) Add(centre, false, now.ordered + more, scale_reason::kLoad);
      return;
    }
    // Under load, one cut is better than two.
    const kind_state& others = centre.reclaimable;
    if (demand_.seen && others.starting && others.present < others.ordered) return;
    const std::uint32_t replaced = std::min(wanted, others.present);
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

  void Reduce(const centre_state& centre, bool reclaimable, std::uint32_t wanted,
              scale_reason reason) {
    if (!may_reduce_) return;
    const kind_state& now = reclaimable ? centre.reclaimable : centre.lasting;
    reductions_.push_back({centre.name, reclaimable, now.ordered, wanted, reason});
    savings_[centre.name] += (now.ordered - wanted) * PriceIn(limits_, centre) *
                             (reclaimable ? limits_.reclaimable_price : 1);
  }

  /** Under load, only in the data centre where it saves most. */
  void AddReductions() {
    const auto most =
        std::max_element(savings_.begin(), savings_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    for (const scale_step& each : reductions_) {
      if (!demand_.seen || each.data_centre == most->first) steps_.push_back(each);
    }
  }

  /** What is ordered of a kind there, with the steps so far. */
  std::uint32_t WithSteps(const centre_state& centre, bool reclaimable) const {
    for (const scale_step& each : steps_) {
      if (each.data_centre == centre.name && each.reclaimable == reclaimable) return each.wanted;
    }
    return (reclaimable ? centre.reclaimable : centre.lasting).ordered;
  }

  /** How many more of both kinds may be ordered there. */
  std::uint32_t RoomIn(const centre_state& centre) const {
    const std::uint32_t taken = WithSteps(centre, false) + WithSteps(centre, true);
    return limits_.max - std::min(limits_.max, taken);
  }

  /** Those that serve there, or will soon. */
  std::uint32_t ExpectedIn(const centre_state& centre) const {
    std::uint32_t sum = Expected(centre.lasting) + Expected(centre.reclaimable);
    for (const scale_step& each : steps_) {
      if (each.data_centre == centre.name && each.wanted > each.before) {
        sum += each.wanted - each.before;
      }
    }
    return sum;
  }

  /**
   * Replaces lost ones: in their data centre by those that can't be reclaimed, and if there are
   * none, elsewhere.
   */
  void FillShortage() {
    const std::uint32_t needed = CeilOf(LoadOnAll(demand_));
    // A load that isn't known yet may need as many as there were.
    std::uint32_t enough = needed;
    if (!demand_.known) {
      std::uint32_t size = 0;
      for (const centre_state& centre : centres_) size += centre.size;
      enough = std::max(enough, size);
    }
    std::uint32_t expected = 0;
    for (const centre_state& centre : centres_) expected += ExpectedIn(centre);
    for (std::size_t i = 0; i < centres_.size() && expected < enough; ++i) {
      const centre_state& centre = centres_[i];
      const std::uint32_t there = ExpectedIn(centre);
      if (there >= sizes_[i] || !centre.lasting.available) continue;
      const std::uint32_t more = std::min({sizes_[i] - there, RoomIn(centre), enough - expected});
      if (more == 0) continue;
      Add(centre, false, WithSteps(centre, false) + more, scale_reason::kShortage);
      expected += more;
    }
    if (expected < needed) FillElsewhere(needed - expected);
  }

  /** Orders the missing ones where there is room, shared out, first those that cost less. */
  void FillElsewhere(std::uint32_t missing) {
    std::vector<std::size_t> by_price(centres_.size());
    std::iota(by_price.begin(), by_price.end(), std::size_t{0});
    std::stable_sort(by_price.begin(), by_price.end(), [&](std::size_t a, std::size_t b) {
      return PriceIn(limits_, centres_[a]) < PriceIn(limits_, centres_[b]);
    });
    for (const bool reclaimable : {true, false}) {
      if (reclaimable && !ReclaimablePays(limits_, centres_.size())) continue;
      auto places = static_cast<std::uint32_t>(by_price.size());
      for (const std::size_t i : by_price) {
        const std::uint32_t share = (missing + places - 1) / places;
        --places;
        const centre_state& centre = centres_[i];
        const kind_state& now = reclaimable ? centre.reclaimable : centre.lasting;
        const std::uint32_t more = std::min(share, RoomIn(centre));
        if (!now.available || more == 0) continue;
        Add(centre, reclaimable, WithSteps(centre, reclaimable) + more, scale_reason::kShortage);
        sizes_[i] += more;
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
  planned_fleet fleet_;
  std::vector<scale_step> reductions_;
  /** What the reductions of each data centre save. */
  std::map<std::string, double> savings_;
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

std::uint32_t SizeOf(const scale_limits& limits, std::size_t centres, std::uint32_t lasting,
                     std::uint32_t reclaimable) {
  if (!ReclaimablePays(limits, centres)) return lasting + reclaimable;
  return lasting + static_cast<std::uint32_t>(reclaimable / SpreadOver(centres));
}

double LoadOnAll(const plan_demand& demand) {
  // Also while the load is not known well: a cold fleet has its heaviest minute.
  const double prefill = std::max(demand.peak.prefill, demand.mean.prefill * kBurst);
  const double running = std::max(demand.peak.running, demand.mean.running * kBurst);
  return (prefill + running) / kFullShare;
}

double LoadWithALoss(const plan_demand& demand, std::size_t centres) {
  if (centres < 2) return LoadOnAll(demand);
  const double rest = (demand.peak.prefill + demand.peak.running) / kFullShareOfRest;
  return std::max(LoadOnAll(demand), rest * SpreadOver(centres));
}

scale_plan PlanUpstreams(const scale_limits& limits, const std::vector<centre_state>& centres,
                         const plan_demand& demand, bool may_reduce) {
  return planner(limits, centres, demand, may_reduce).Plan();
}

}  // namespace hawthorndrum
