/// Plays mixes of long prompts and long answers on engine models, and compares what callers get.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>
#include <limits>

#include "mix_fleet.h"

namespace hawthorndrum {
namespace {

/** The share of prefill engines that was fixed before engines followed the mix. */
constexpr double kFixedShare = 0.78;
constexpr double kRunSeconds = 40;

class fixed_split : public split_policy {
 public:
  std::size_t Wanted(std::size_t engines, std::size_t, const stage_load&) override {
    return static_cast<std::size_t>(std::lround(static_cast<double>(engines) * kFixedShare));
  }
};

class planned_split : public split_policy {
 public:
  std::size_t Wanted(std::size_t engines, std::size_t present, const stage_load& load) override {
    planner_.Observe(engines, load, milliseconds(500));
    return planner_.HasObserved() ? planner_.Wanted(engines, present) : present;
  }

 private:
  stage_planner planner_{stage_plan_limits()};
};

class product_placement : public place_policy {
 public:
  explicit product_placement(const mix_fleet& fleet) : fleet_(fleet) {}
  tl::expected<placement, placement_failure> Choose(const placement_query& query,
                                                    time_point now) override {
    return fleet_.placements().Choose(query, now);
  }

 private:
  const mix_fleet& fleet_;
};

/** Takes the engine with the fewest requests in each stage, whatever it holds. */
class least_outstanding : public place_policy {
 public:
  explicit least_outstanding(mix_fleet& fleet) : fleet_(fleet) {}
  tl::expected<placement, placement_failure> Choose(const placement_query& query,
                                                    time_point now) override {
    placement chosen;
    chosen.runs_at = Least(engine_stage::kDecode, now);
    if (!query.is_prefilled) {
      chosen.prefills_at = Least(engine_stage::kPrefill, now);
      chosen.unread_tokens = query.asked->tokens();
    }
    return chosen;
  }

 private:
  upstream_id Least(engine_stage stage, time_point now) {
    upstream_id best;
    std::uint32_t fewest = std::numeric_limits<std::uint32_t>::max();
    for (const fleet_upstream* row : fleet_.fleet().OfService("llm")) {
      if (row->entry.stage != stage || now < row->refuses_until) continue;
      if (row->own.running >= fewest) continue;
      fewest = row->own.running;
      best = row->id;
    }
    return best;
  }

  mix_fleet& fleet_;
};

request_kind LongPrompts() {
  request_kind kind;
  kind.worth = 8.9;
  return kind;
}

request_kind ShortRequests() {
  request_kind kind;
  kind.groups = 1000;
  kind.shared_tokens = 92;
  kind.own_tokens = 291;
  kind.output_tokens = 45;
  kind.objective = milliseconds(500);
  kind.worth = 1.4;
  return kind;
}

struct compared {
  mix_result planned;
  mix_result fixed;
  mix_result least;
};

/** Plays the mix with engines that follow it, with the fixed share, and by least outstanding. */
compared Compare(const char* name, std::size_t engines, const mix_function& mix) {
  const auto first = static_cast<std::size_t>(
      std::lround(stage_plan_limits().initial_prefill_share * static_cast<double>(engines)));
  const auto fixed =
      static_cast<std::size_t>(std::lround(kFixedShare * static_cast<double>(engines)));
  const std::vector<request_kind> kinds = {LongPrompts(), ShortRequests()};
  compared results;
  {
    mix_fleet fleet(engines, first, {}, kinds);
    planned_split split;
    product_placement place(fleet);
    results.planned = fleet.Run(kRunSeconds, mix, split, place);
  }
  {
    mix_fleet fleet(engines, fixed, {}, kinds);
    fixed_split split;
    product_placement place(fleet);
    results.fixed = fleet.Run(kRunSeconds, mix, split, place);
  }
  {
    mix_fleet fleet(engines, fixed, {}, kinds);
    fixed_split split;
    least_outstanding place(fleet);
    results.least = fleet.Run(kRunSeconds, mix, split, place);
  }
  std::printf(
      "%-24s earned: follows %.3f (%d changes, %d refused), fixed %.3f (%d refused), least "
      "outstanding %.3f\n",
      name, results.planned.share(), results.planned.changes, results.planned.refused,
      results.fixed.share(), results.fixed.refused, results.least.share());
  return results;
}

// Many short requests: at the fixed share two of nine engines decode, and callers wait for slots.
TEST(Mix, ManyShortRequests) {
  const compared got = Compare("many short requests", 9, [](double) {
    return std::vector<double>{18, 260};
  });
  EXPECT_GT(got.planned.share(), 1.2 * got.fixed.share());
  EXPECT_GT(got.planned.share(), got.least.share());
}

// Long prompts with short answers: the mix that the fixed share was chosen for.
TEST(Mix, LongPrompts) {
  const compared got = Compare("long prompts", 9, [](double) {
    return std::vector<double>{70, 30};
  });
  EXPECT_GT(got.planned.share(), 0.97 * got.fixed.share());
  EXPECT_GT(got.planned.share(), got.least.share());
}

TEST(Mix, TheMixTurnsOver) {
  const compared got = Compare("turns over at half time", 9, [](double at) {
    return at < kRunSeconds / 2 ? std::vector<double>{45, 30} : std::vector<double>{12, 260};
  });
  EXPECT_GT(got.planned.share(), got.fixed.share());
  EXPECT_GT(got.planned.share(), got.least.share());
}

std::vector<double> Swings(double at) {
  const bool high = std::fmod(at, 5.6) < 2.8;
  return high ? std::vector<double>{30, 120} : std::vector<double>{10, 300};
}

TEST(Mix, FastSwings) {
  const compared got = Compare("swings of 2.8 s", 9, Swings);
  EXPECT_GT(got.planned.share(), got.fixed.share());
  EXPECT_GT(got.planned.share(), got.least.share());
}

// An engine that followed a swing of 2.8 s would be away for longer than the swing.
TEST(Mix, EnginesHoldStillUnderFastSwings) {
  mix_fleet fleet(9, 6, {}, {LongPrompts(), ShortRequests()});
  planned_split split;
  product_placement place(fleet);
  fleet.Run(20, Swings, split, place);
  const mix_result settled = fleet.Run(kRunSeconds, Swings, split, place);
  std::printf("swings of 2.8 s, settled: %d changes in %.0f s, earned %.3f\n", settled.changes,
              kRunSeconds, settled.share());
  EXPECT_LE(settled.changes, 2);
}

}  // namespace
}  // namespace hawthorndrum
