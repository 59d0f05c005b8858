/// Measures goodput under overload and prints it; fails when it misses a target.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <vector>

#include "goodput_run.h"

namespace hawthorndrum {
namespace {

constexpr int kDaemons = 4;
constexpr int kEngines = 8;
constexpr duration kLag = milliseconds(100);
/** The share of its peak that goodput must reach under twice the load. */
constexpr double kMinPeakShare = 0.9;

const char* NameOf(policy one) {
  switch (one) {
    case policy::kHawthorndrum:
      return "hawthorndrum";
    case policy::kRoundRobin:
      return "round robin";
    case policy::kLeastOutstanding:
      return "least outstanding";
  }
  return "";
}

/** Runs the policy from half the load that the engines can carry to twice that load. */
std::vector<goodput_result> RunLoads(policy decides) {
  std::vector<goodput_result> results;
  for (const double load : {0.5, 0.9, 1.0, 1.2, 2.0}) {
    goodput_run run(decides, DeskOnly(), kDaemons, kEngines, kLag);
    results.push_back(run.Run(load));
    std::printf("%-18s load %.1f: offered %5d, useful in time %5d, late %5d\n", NameOf(decides),
                load, results.back().Offered(), results.back().Useful(), results.back().Late());
  }
  return results;
}

int PeakOf(const std::vector<goodput_result>& results) {
  int peak = 0;
  for (const goodput_result& one : results) peak = std::max(peak, one.Useful());
  return peak;
}

TEST(Goodput, StaysNearItsPeakUnderTwiceTheLoad) {
  const auto own = RunLoads(policy::kHawthorndrum);
  const auto round_robin = RunLoads(policy::kRoundRobin);
  const auto least_outstanding = RunLoads(policy::kLeastOutstanding);
  const double kept = static_cast<double>(own.back().Useful()) / PeakOf(own);
  const int best_other = std::max(PeakOf(round_robin), PeakOf(least_outstanding));
  std::printf(
      "kept at twice the load: hawthorndrum %.3f, round robin %.3f, least outstanding %.3f\n", kept,
      static_cast<double>(round_robin.back().Useful()) / PeakOf(round_robin),
      static_cast<double>(least_outstanding.back().Useful()) / PeakOf(least_outstanding));
  std::printf("peak against the better of the two others: %.3f\n",
              static_cast<double>(PeakOf(own)) / best_other);
  EXPECT_GE(kept, kMinPeakShare);
  // The peak itself must be high: refusing requests would lower it and so raise the share.
  EXPECT_GE(PeakOf(own), kMinPeakShare * best_other);
}

TEST(Goodput, PhoneCallsKeepTheirTimeAndDigestsFinish) {
  for (const double load : {1.0, 2.0}) {
    goodput_run run(policy::kHawthorndrum, DayMix(), kDaemons, kEngines, kLag);
    const goodput_result result = run.Run(load);
    for (std::size_t i = 0; i < result.by_class.size(); ++i) {
      const class_result& one = result.by_class[i];
      std::printf("load %.1f %-7s offered %4d useful %4d late %3d refused %4d (slowly %3d)\n", load,
                  DayMix()[i].service, one.offered, one.useful, one.late, one.refused,
                  one.slow_refusals);
      EXPECT_EQ(one.wrong_outcome, 0);
      EXPECT_LE(one.slow_refusals, std::max(1, one.refused / 10));
    }
    const class_result& phone = result.by_class[0];
    const class_result& digest = result.by_class[2];
    EXPECT_GE(phone.useful, 0.99 * phone.offered);
    EXPECT_EQ(digest.useful, digest.offered);
  }
}

TEST(Goodput, LagAndManyDaemonsDoNotHerd) {
  for (const int daemons : {1, 8, 20}) {
    for (const duration lag : {milliseconds(100), milliseconds(1000), milliseconds(5000)}) {
      goodput_run calm(policy::kHawthorndrum, DeskOnly(), daemons, kEngines, lag);
      const goodput_result at_calm = calm.Run(0.8);
      goodput_run over(policy::kHawthorndrum, DeskOnly(), daemons, kEngines, lag);
      const goodput_result at_over = over.Run(2.0);
      std::printf(
          "%2d daemons, lag %4lld ms: load 0.8 useful %4d of %4d, busiest engine %.2f of even; "
          "load "
          "2.0 useful %4d late %3d, busiest %.2f\n",
          daemons, static_cast<long long>(ToMilliseconds(lag)), at_calm.Useful(), at_calm.Offered(),
          calm.Unevenness(), at_over.Useful(), at_over.Late(), over.Unevenness());
      EXPECT_LE(calm.Unevenness(), 1.5);
      EXPECT_LE(over.Unevenness(), 1.5);
    }
  }
}

}  // namespace
}  // namespace hawthorndrum
