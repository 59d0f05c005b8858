/// Compares the role planner with other policies in one run.
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

/** `role_change_price` of the example settings is in units of the preset one. */
price_case PriceOf(const char* name, double setting) {
  role_prices prices;
  prices.downtime_seconds = kDowntimeSeconds;
  prices.role_change_price *= setting;
  return {name, prices};
}

price_case Hearthwell() { return PriceOf("Hearthwell", 5); }
price_case Kurssivaraus() { return PriceOf("Kurssivaraus", 0.5); }

struct mix_row {
  mix_result planner;
  mix_result oracle;
};

void Print(const char* name, const mix_result& result, const mix_result& oracle) {
  std::printf(" | %s %5.1f%% of oracle, %3d changes, %2d of one", name,
              100 * result.goodput / oracle.goodput, result.changes, result.most_of_one_engine);
}

mix_row Measure(const mix_case& mix, const role_prices& prices) {
  // All policies start from the split that fits the first mix, so that none has an advantage.
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
    if (mix.too_fast) {
      EXPECT_EQ(row.planner.changes, 0) << mix.name;
    } else {
      EXPECT_LE(row.planner.most_of_one_engine, mix.shifts) << mix.name;
    }
  }
}

/**
 * Sweeps half periods from seconds to an hour: at none may the planner make more changes than the
 * oracle, so where the oracle, which knows the future, makes none, the planner makes none; and its
 * goodput must reach the target share of the oracle's.
 */
void Sweep(const price_case& price) {
  for (const int half : {2, 5, 10, 20, 40, 60, 90, 120, 180, 240, 300, 450, 600, 900, 1800, 3600}) {
    const mix_case mix = AlternatingCase(half);
    const mix_result oracle = Serve(mix, 8, *MakeOraclePolicy(price.prices));
    const mix_result planner = Serve(mix, 8, *MakePlannerPolicy(price.prices));
    std::printf("%s half period %4d s", price.name, half);
    Print("planner", planner, oracle);
    Print("oracle", oracle, oracle);
    std::printf("\n");
    EXPECT_LE(planner.changes, oracle.changes) << half;
    EXPECT_GE(planner.goodput, kGoodputTarget * oracle.goodput) << half;
  }
}

TEST(RolePlanning, AnyPeriodHearthwell) { Sweep(Hearthwell()); }
TEST(RolePlanning, AnyPeriodKurssivaraus) { Sweep(Kurssivaraus()); }

TEST(RolePlanning, HearthwellPrice) { Check(Hearthwell()); }
TEST(RolePlanning, KurssivarausPrice) { Check(Kurssivaraus()); }

}  // namespace
}  // namespace hawthorndrum
