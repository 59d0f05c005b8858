/// The planner under test, and the policies that it is compared with.
#include <algorithm>
#include <map>

#include "mix_events.h"

namespace hawthorndrum {
namespace {

/** The oracle looks this far ahead, in steps of kOracleStep seconds. */
constexpr std::size_t kOracleAhead = 600;
constexpr std::size_t kOracleStep = 10;
/** Engine-seconds below which two plans count as equal. */
constexpr double kEqualCost = 1e-6;

class never_policy : public mix_policy {
 public:
  std::size_t Wanted(const mix_case&, std::size_t, const role_fleet& fleet) override {
    return fleet.prefill;
  }
};

/** Moves one engine if one role's load exceeds the other's by 0.2; then waits for 30 s. */
class threshold_policy : public mix_policy {
 public:
  std::size_t Wanted(const mix_case& mix, std::size_t now, const role_fleet& fleet) override {
    if (now < wait_until_) return fleet.prefill;
    const role_demand& demand = mix.events[now].demand;
    const double prefill = demand.prefill / kPrefillRate / static_cast<double>(fleet.prefill);
    const double decode = demand.decode / kDecodeRate / static_cast<double>(fleet.decode);
    const bool more = prefill > decode + 0.2 && fleet.decode > 1;
    const bool less = decode > prefill + 0.2 && fleet.prefill > 1;
    if (!more && !less) return fleet.prefill;
    wait_until_ = now + 30;
    return more ? fleet.prefill + 1 : fleet.prefill - 1;
  }

 private:
  std::size_t wait_until_ = 0;
};

/** Knows the next ten minutes; every 10 s takes the cheapest plan over them, prices included. */
class oracle_policy : public mix_policy {
 public:
  explicit oracle_policy(const role_prices& prices) : prices_(prices) {}

  std::size_t Wanted(const mix_case& mix, std::size_t now, const role_fleet& fleet) override {
    if (now % kOracleStep != 0) return std::min(wanted_, fleet.prefill + fleet.decode - 1);
    const std::size_t movable = fleet.prefill + fleet.decode;
    std::vector<double> ahead(movable + 1, 0.0);
    const std::size_t end = std::min(mix.events.size(), now + kOracleAhead);
    for (std::size_t at = now + (end - now - 1) / kOracleStep * kOracleStep;; at -= kOracleStep) {
      Relax(ahead);
      for (std::size_t split = 0; split <= movable; ++split) {
        ahead[split] += CostOf(mix, at / kOracleStep, fleet, split);
      }
      if (at == now) break;
    }
    wanted_ = fleet.prefill;
    double best = ahead[fleet.prefill];
    for (std::size_t split = 1; split < movable; ++split) {
      const std::size_t changes =
          split > fleet.prefill ? split - fleet.prefill : fleet.prefill - split;
      const double cost = ahead[split] + prices_.per_change() * static_cast<double>(changes);
      if (cost + kEqualCost < best) {
        best = cost;
        wanted_ = split;
      }
    }
    return wanted_;
  }

 private:
  void Relax(std::vector<double>& cost) const {
    for (std::size_t i = 1; i < cost.size(); ++i) {
      cost[i] = std::min(cost[i], cost[i - 1] + prices_.per_change());
    }
    for (std::size_t i = cost.size() - 1; i-- > 0;) {
      cost[i] = std::min(cost[i], cost[i + 1] + prices_.per_change());
    }
  }

  /** The work lost at that split in that step; computed once for each number of engines. */
  double CostOf(const mix_case& mix, std::size_t step, const role_fleet& fleet,
                std::size_t prefill) {
    const std::size_t movable = fleet.prefill + fleet.decode;
    std::vector<std::vector<double>>& known = costs_[movable];
    if (known.empty()) known.resize(mix.events.size() / kOracleStep + 1);
    std::vector<double>& costs = known[step];
    if (costs.empty()) {
      costs.assign(movable + 1, 0.0);
      const std::size_t end = std::min(mix.events.size(), (step + 1) * kOracleStep);
      for (std::size_t t = step * kOracleStep; t < end; ++t) {
        for (std::size_t split = 0; split <= movable; ++split) {
          costs[split] += LostWork(fleet, split, movable - split, mix.events[t].demand, 1.0);
        }
      }
    }
    return costs[prefill];
  }

  role_prices prices_;
  std::size_t wanted_ = 0;
  std::map<std::size_t, std::vector<std::vector<double>>> costs_;
};

/** The planner under test; observes each second's demand as the daemon's counters would show it. */
class planner_policy : public mix_policy {
 public:
  explicit planner_policy(const role_prices& prices) : planner_(prices) {}

  std::size_t Wanted(const mix_case& mix, std::size_t now, const role_fleet& fleet) override {
    planner_.Observe(fleet, mix.events[now].demand, seconds(1));
    return planner_.WantedPrefill(fleet);
  }

 private:
  role_planner planner_;
};

/** The engines of a case: the role of each, and until when it is out of service. */
class fake_role_fleet {
 public:
  fake_role_fleet(std::size_t count, std::size_t prefill) : engines_(count) {
    for (std::size_t i = 0; i < prefill; ++i) engines_[i].prefill = true;
  }

  /** Engines are lost from the end of the list. */
  void Resize(std::size_t count) { engines_.resize(count); }

  /** As the planner counts: an engine that is being changed already has its new role. */
  role_fleet Counted() const { return Count(0, false); }
  /** Only the engines that serve now. */
  role_fleet Serving(int now) const { return Count(now, true); }

  void Change(bool to_prefill, int now) {
    engine* best = nullptr;
    std::size_t down = 0;
    for (engine& candidate : engines_) {
      if (candidate.down_until > now) {
        ++down;
        continue;
      }
      if (candidate.prefill == to_prefill) continue;
      if (best == nullptr || candidate.down_until < best->down_until) best = &candidate;
    }
    if (down >= 2 || best == nullptr) return;
    best->prefill = to_prefill;
    best->down_until = now + kDowntimeSeconds;
    ++best->changes;
    ++changes_;
  }

  int changes() const { return changes_; }
  int most_of_one_engine() const {
    int most = 0;
    for (const engine& engine : engines_) most = std::max(most, engine.changes);
    return most;
  }

 private:
  struct engine {
    bool prefill = false;
    int down_until = 0;
    int changes = 0;
  };

  role_fleet Count(int now, bool serving) const {
    role_fleet fleet;
    fleet.prefill_rate = kPrefillRate;
    fleet.decode_rate = kDecodeRate;
    for (const engine& engine : engines_) {
      if (serving && engine.down_until > now) continue;
      ++(engine.prefill ? fleet.prefill : fleet.decode);
    }
    return fleet;
  }

  std::vector<engine> engines_;
  int changes_ = 0;
};

}  // namespace

mix_result Serve(const mix_case& mix, std::size_t prefill, mix_policy& policy) {
  fake_role_fleet fleet(mix.events.front().engines, prefill);
  mix_result result;
  for (std::size_t t = 0; t < mix.events.size(); ++t) {
    const mix_event& event = mix.events[t];
    fleet.Resize(event.engines);
    const role_fleet serving = fleet.Serving(static_cast<int>(t));
    const double work = event.demand.prefill / kPrefillRate + event.demand.decode / kDecodeRate;
    result.offered += work;
    result.goodput +=
        work * ServedShare(serving, serving.prefill, serving.decode, event.demand, 1.0);
    const std::size_t wanted = policy.Wanted(mix, t, fleet.Counted());
    // Two engines may be out of service at once.
    for (int i = 0; i < 2; ++i) {
      const std::size_t counted = fleet.Counted().prefill;
      if (wanted != counted) fleet.Change(wanted > counted, static_cast<int>(t));
    }
  }
  result.changes = fleet.changes();
  result.most_of_one_engine = fleet.most_of_one_engine();
  return result;
}

std::size_t BestFixedSplit(const mix_case& mix) {
  std::size_t best = 1;
  double most = -1;
  const std::unique_ptr<mix_policy> never = MakeNeverPolicy();
  for (std::size_t prefill = 1; prefill < mix.events.front().engines; ++prefill) {
    const mix_result result = Serve(mix, prefill, *never);
    if (result.goodput <= most) continue;
    most = result.goodput;
    best = prefill;
  }
  return best;
}

std::unique_ptr<mix_policy> MakeNeverPolicy() { return std::make_unique<never_policy>(); }

std::unique_ptr<mix_policy> MakeThresholdPolicy() { return std::make_unique<threshold_policy>(); }

std::unique_ptr<mix_policy> MakeOraclePolicy(const role_prices& prices) {
  return std::make_unique<oracle_policy>(prices);
}

std::unique_ptr<mix_policy> MakePlannerPolicy(const role_prices& prices) {
  return std::make_unique<planner_policy>(prices);
}

}  // namespace hawthorndrum
