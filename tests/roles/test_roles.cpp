/// Measures the role planner against other policies, side by side in one run.
#include <gtest/gtest.h>

#include <cstdio>

#include "mix_events.h"

namespace hawthorndrum {
namespace {

/** Goodput that the planner must reach, as a share of the oracle's. */
constexpr double kGoodputTarget = 0.95;

struct price_case {
  const char* name;
  role_prices prices;
};

price_case Hearthwell() { return {"Hearthwell", {kAwaySeconds, 240}}; }
price_case Kurssivaraus() { return {"Kurssivaraus", {kAwaySeconds, 12}}; }

struct mix_row {
  mix_result planner;
  mix_result oracle;
};

void Print(const char* name, const mix_result& result, const mix_result& oracle) {
  std::printf(" | %s %5.1f%% of oracle, %3d changes, %2d of one", name,
              100 * result.goodput / oracle.goodput, result.changes, result.most_of_one_engine);
}

mix_row Measure(const mix_case& mix, const role_prices& prices) {
  // All begin with the split that fits the first mix, so that no one is given a head start.
  constexpr std::size_t kFirstSplit = 8;
  mix_row row;
  row.oracle = Serve(mix, kFirstSplit, *MakeOraclePolicy(prices));
  row.planner = Serve(mix, kFirstSplit, *MakePlannerPolicy(prices));
  const mix_result never = Serve(mix, kFirstSplit, *MakeNeverPolicy());
  const mix_result threshold = Serve(mix, kFirstSplit, *MakeThresholdPolicy());
  const mix_result fixed = Serve(mix, BestFixedSplit(mix), *MakeNeverPolicy());
  std::printf("%-26s", mix.name.c_str());
  Print("planner", row.planner, row.oracle);
  Print("oracle", row.oracle, row.oracle);
  Print("never", never, row.oracle);
  Print("threshold", threshold, row.oracle);
  Print("best fixed", fixed, row.oracle);
  std::printf("\n");
  return row;
}

void Check(const price_case& price) {
  std::printf("%s: a change costs %.0f engine-seconds\n", price.name, price.prices.per_change());
  for (const mix_case& mix : MixCases(price.prices)) {
    const mix_row row = Measure(mix, price.prices);
    EXPECT_GE(row.planner.goodput, kGoodputTarget * row.oracle.goodput) << mix.name;
    EXPECT_LE(row.planner.changes, row.oracle.changes) << mix.name;
    if (mix.flaps) {
      EXPECT_EQ(row.planner.changes, 0) << mix.name;
    } else {
      EXPECT_LE(row.planner.most_of_one_engine, mix.shifts) << mix.name;
    }
  }
}

TEST(RolePlanning, HearthwellPrice) { Check(Hearthwell()); }
TEST(RolePlanning, KurssivarausPrice) { Check(Kurssivaraus()); }

}  // namespace
}  // namespace hawthorndrum
