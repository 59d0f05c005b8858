/// Tests the traffic between daemons when many recover at once: its peaks against the steady state.
#include <gtest/gtest.h>

#include <cstdio>

#include "fake_daemon_group.h"

namespace hawthorndrum {
namespace {

constexpr std::size_t kDaemons = 20;
constexpr int kEngines = 224;
/** Target: the traffic of any second after a recovery is below this multiple of a steady second. */
constexpr double kMaxPeak = 3.0;
/** Traffic counts as steady again up to this multiple of the steady traffic. */
constexpr double kSteadyThreshold = 1.25;

struct recovery : testing::Test {
  recovery() {
    for (std::size_t i = 0; i < kDaemons; ++i) Start(i);
    group.AdvanceUntil([&] { return group.ViewsAgree(); }, seconds(30));
    group.ListEngines(kEngines);
    group.Advance(seconds(90));
  }

  void Start(std::size_t slot) { index_of[slot] = StartAt(slot); }

  std::size_t StartAt(std::size_t slot) {
    const std::size_t index = group.size();
    group.Start(DaemonAddress(slot)).listing.OnHostList(group.hosts);
    return index;
  }

  /** Returns the bytes that all running daemons sent, including lower layers' headers and polls. */
  double BytesSent() {
    double sum = 0;
    for (std::size_t i = 0; i < group.size(); ++i) {
      if (!group.running(i)) continue;
      fake_daemon& one = group.at(i);
      sum += static_cast<double>(
          one.Count("hawthorndrum_peer_bytes_total", MetricLabel("direction", "out")) +
          one.Count("hawthorndrum_load_poll_bytes_total"));
    }
    return sum;
  }

  /** Returns the bytes sent in the next second. */
  double BytesInNextSecond() {
    const double before = BytesSent();
    group.Advance(seconds(1));
    return BytesSent() - before;
  }

  double SteadyBytesPerSecond() {
    double sum = 0;
    for (int i = 0; i < 20; ++i) sum += BytesInNextSecond();
    return sum / 20;
  }

  struct traffic_result {
    double peak = 0;
    int seconds_to_steady = 0;
  };

  /** Measures the traffic after a recovery. */
  traffic_result MeasureRecovery(double steady, int length) {
    traffic_result result;
    for (int second = 1; second <= length; ++second) {
      const double bytes = BytesInNextSecond();
      result.peak = std::max(result.peak, bytes / steady);
      if (bytes > kSteadyThreshold * steady || !group.ViewsAgree())
        result.seconds_to_steady = second;
    }
    return result;
  }

  void Print(const char* what, const traffic_result& result) {
    std::printf("%-44s peak %.2f of steady, steady again after %d s\n", what, result.peak,
                result.seconds_to_steady);
  }

  fake_daemon_group group;
  std::map<std::size_t, std::size_t> index_of;
};

TEST_F(recovery, AllDaemonsCutFromEachOtherComeTogetherAgain) {
  const double steady = SteadyBytesPerSecond();
  for (std::size_t a = 0; a < kDaemons; ++a) {
    for (std::size_t b = 0; b < a; ++b) {
      group.network.BlockBoth(DaemonAddress(a), DaemonAddress(b));
    }
  }
  group.Advance(seconds(120));
  for (std::size_t a = 0; a < kDaemons; ++a) {
    for (std::size_t b = 0; b < a; ++b) {
      group.network.BlockBoth(DaemonAddress(a), DaemonAddress(b), false);
    }
  }
  const traffic_result result = MeasureRecovery(steady, 120);
  Print("cut of all daemons from each other heals", result);
  EXPECT_LT(result.peak, kMaxPeak);
  EXPECT_TRUE(group.ViewsAgree());
}

TEST_F(recovery, RackOfDaemonsIsStartedAnewAtOnce) {
  const double steady = SteadyBytesPerSecond();
  for (std::size_t i = 0; i < kDaemons / 4; ++i) group.Kill(index_of[i]);
  group.Advance(seconds(60));
  for (std::size_t i = 0; i < kDaemons / 4; ++i) Start(i);
  const traffic_result result = MeasureRecovery(steady, 120);
  Print("a quarter of the daemons is started anew", result);
  EXPECT_LT(result.peak, kMaxPeak);
  EXPECT_TRUE(group.ViewsAgree());
}

TEST_F(recovery, AllDaemonsAreStartedAnewAtOnce) {
  const double steady = SteadyBytesPerSecond();
  for (std::size_t i = 0; i < kDaemons; ++i) group.Kill(index_of[i]);
  group.Advance(seconds(5));
  for (std::size_t i = 0; i < kDaemons; ++i) Start(i);
  const traffic_result result = MeasureRecovery(steady, 120);
  Print("all daemons of a data centre are started anew", result);
  EXPECT_LT(result.peak, kMaxPeak);
  EXPECT_TRUE(group.ViewsAgree());
}

TEST_F(recovery, RackOfDaemonsWakesFromAPause) {
  const double steady = SteadyBytesPerSecond();
  for (std::size_t i = 0; i < kDaemons / 4; ++i) group.Freeze(index_of[i]);
  group.Advance(seconds(60));
  for (std::size_t i = 0; i < kDaemons / 4; ++i) group.Freeze(index_of[i], false);
  const traffic_result result = MeasureRecovery(steady, 120);
  Print("a quarter of the daemons wakes from a pause", result);
  EXPECT_LT(result.peak, kMaxPeak);
  EXPECT_TRUE(group.ViewsAgree());
}

}  // namespace
}  // namespace hawthorndrum
