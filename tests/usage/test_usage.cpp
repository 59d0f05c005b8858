/// Tests of usage: counted once, carried to one daemon, reported once, with one content.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "usage/usage_message.h"
#include "usage/usage_record.h"
#include "usage_fleet.h"

namespace hawthorndrum {
namespace {

constexpr std::uint64_t kLateMs = 10'000;
constexpr double kOff = 0.05;

/** 5 teams send 20 requests a second each to the daemons in turn, as callers of all sizes do. */
void Serve(usage_fleet& fleet, duration time) {
  std::size_t turn = 0;
  for (duration done{0}; done < time; done += usage_fleet::kStep) {
    fleet.Step();
    for (int team = 0; team < 5; ++team) {
      for (std::size_t tried = 0; tried < fleet.daemons.size(); ++tried) {
        const int daemon = static_cast<int>(++turn % fleet.daemons.size());
        if (fleet.daemons[static_cast<std::size_t>(daemon)] == nullptr || fleet.at(daemon).paused)
          continue;
        fleet.Begin(daemon, "team" + std::to_string(team));
        break;
      }
    }
  }
}

TEST(Usage, EveryWindowIsReportedInTimeAndRight) {
  usage_fleet fleet(6);
  fleet.lose_each = 5;
  const std::uint64_t first = fleet.OpenWindow() + 1;
  Serve(fleet, seconds(60));
  EXPECT_EQ(fleet.Missing(first, kLateMs, 0), 0);
  EXPECT_EQ(fleet.Violations(), "");
}

TEST(Usage, ADeadHolderIsFollowedInTime) {
  usage_fleet fleet(6);
  const std::uint64_t first = fleet.OpenWindow() + 1;
  Serve(fleet, seconds(23));
  const int holder = fleet.Holder();
  ASSERT_GE(holder, 0);
  fleet.Kill(holder);
  Serve(fleet, seconds(40));
  EXPECT_EQ(fleet.Missing(first, kLateMs, kOff), 0);
  EXPECT_EQ(fleet.Violations(), "");
}

TEST(Usage, ALostAnswerIsFollowedByTheSameContentFromTheNextHolder) {
  usage_fleet fleet(4);
  const std::uint64_t first = fleet.OpenWindow() + 1;
  Serve(fleet, seconds(18));
  for (int round = 0; round < 4; ++round) {
    fleet.lose_answers = 1;
    while (fleet.lose_answers > 0) Serve(fleet, usage_fleet::kStep);
    // It dies, is frozen or loses the store, and does not know whether the report arrived.
    const int holder = fleet.Holder();
    ASSERT_GE(holder, 0);
    if (round == 0) {
      fleet.Kill(holder);
      fleet.Start(holder);
    }
    if (round == 1) fleet.at(holder).paused = true;
    if (round == 2) fleet.at(holder).no_store = true;
    Serve(fleet, seconds(15));
    fleet.at(holder).paused = fleet.at(holder).no_store = false;
    Serve(fleet, seconds(10));
  }
  EXPECT_EQ(fleet.Violations(), "");
  EXPECT_EQ(fleet.Missing(first, 30'000, 1), 0);
}

TEST(Usage, AHolderThatDoesNotReachThePlatformLeavesTheDutyToAnother) {
  usage_fleet fleet(4);
  Serve(fleet, seconds(18));
  const int holder = fleet.Holder();
  fleet.at(holder).no_platform = true;
  Serve(fleet, seconds(40));
  EXPECT_NE(fleet.Holder(), holder);
  EXPECT_EQ(fleet.Missing(fleet.OpenWindow() - 5, kLateMs, kOff), 0);
  EXPECT_EQ(fleet.Violations(), "");
}

TEST(Usage, TheDutyDoesNotWanderWhileThePlatformIsDown) {
  usage_fleet fleet(6);
  Serve(fleet, seconds(18));
  const std::uint64_t before = fleet.at(fleet.Holder()).lease.term().value();
  fleet.platform_down = true;
  Serve(fleet, seconds(50));
  fleet.platform_down = false;
  Serve(fleet, seconds(30));
  EXPECT_LE(fleet.at(fleet.Holder()).lease.term().value(), before + usage_reporter::kMaxGivenUp);
  // What waited is reported late rather than never.
  EXPECT_EQ(fleet.Missing(fleet.OpenWindow() - 18, 60'000, kOff), 0);
  EXPECT_EQ(fleet.Violations(), "");
}

TEST(Usage, AHostWithAWrongClockFollowsTheOthers) {
  for (const std::int64_t wrong_ms : {-40'000, -7'000, 7'000, 40'000}) {
    usage_fleet fleet(5);
    Serve(fleet, seconds(20));
    const int holder = fleet.Holder();
    for (const int stepped : {holder, (holder + 1) % 5}) {
      fleet.Kill(stepped);
      fleet.Start(stepped, wrong_ms);
      Serve(fleet, seconds(40));
    }
    EXPECT_EQ(fleet.Missing(fleet.OpenWindow() - 5, kLateMs, kOff), 0) << wrong_ms;
    EXPECT_EQ(fleet.Violations(), "");
  }
}

TEST(Usage, WhatNobodyCountedIsSaidAndNotMadeUp) {
  usage_fleet fleet(3);
  Serve(fleet, seconds(22));
  for (int i = 0; i < 3; ++i) fleet.Kill(i);
  const std::uint64_t gap = fleet.OpenWindow();
  fleet.now += seconds(20);
  for (int i = 0; i < 3; ++i) fleet.Start(i);
  Serve(fleet, seconds(40));
  EXPECT_EQ(fleet.reports.count(gap + 1), 0u);
  std::string missed;
  for (const auto& each : fleet.daemons) missed += each->log.LastOf("usage_missed");
  EXPECT_NE(missed.find("not_counted"), std::string::npos);
  EXPECT_EQ(fleet.Missing(fleet.OpenWindow() - 4, kLateMs, kOff), 0);
}

// Guards against a second content of a window whose fixed report the store has lost.
TEST(Usage, AStoreThatLosesAFixedReportCausesNoSecondContent) {
  usage_fleet fleet(18);
  fleet.store.BeginEras();
  Serve(fleet, seconds(18));
  for (int drill = 0; drill < 9; ++drill) {
    while (fleet.WallMs() % usage_fleet::kWindowMs < 3'500) Serve(fleet, usage_fleet::kStep);
    fleet.store.Copy();
    const std::size_t reports = fleet.reports.size();
    while (fleet.reports.size() == reports) Serve(fleet, usage_fleet::kStep);
    Serve(fleet, milliseconds(500));
    fleet.store.Restore();
    Serve(fleet, seconds(30));
    ASSERT_EQ(fleet.Violations(), "") << "drill " << drill;
  }
  EXPECT_GE(fleet.Holder(), 0);
}

TEST(Usage, AnUnreadableRecordIsReplacedWithoutASecondContent) {
  usage_fleet fleet(3);
  Serve(fleet, seconds(20));
  store_call call;
  call.operation = store_operation::kUpdate;
  call.key = "usage/reports";
  call.expected = fleet.store.objects().at(call.key).version;
  call.value = "{\"next\":";
  fleet.store.Apply(call);
  fleet.Kill(fleet.Holder());
  Serve(fleet, seconds(40));
  EXPECT_EQ(fleet.Missing(fleet.OpenWindow() - 4, kLateMs, kOff), 0);
  EXPECT_EQ(fleet.Violations(), "");
}

constexpr double kBudgetPerSecond = 11 * 1024;

/** Bytes a second that daemons send on average, and that one of them receives at most. */
struct carried_bytes {
  double mean = 0;
  double most = 0;
};

/** Load: 410 daemons, 79 teams, each daemon begins 10 requests a second. */
carried_bytes BytesOfALargeFleet() {
  constexpr int kDaemons = 410;
  usage_fleet fleet(kDaemons);
  fleet.Run(seconds(20));
  fleet.bytes = 0;
  fleet.bytes_to.clear();
  fake_random_source random(5);
  constexpr int kSeconds = 20;
  for (int step = 0; step < kSeconds * 20; ++step) {
    fleet.Step();
    for (int daemon = step % 2; daemon < kDaemons; daemon += 2)
      fleet.Begin(daemon, "hule" + std::to_string(100 + random.Below(79)));
  }
  std::uint64_t most = 0;
  for (const auto& [address, bytes] : fleet.bytes_to) most = std::max(most, bytes);
  return {static_cast<double>(fleet.bytes) / kSeconds / kDaemons,
          static_cast<double>(most) / kSeconds};
}

const carried_bytes& LargeFleet() {
  static const carried_bytes kCarried = BytesOfALargeFleet();
  return kCarried;
}

TEST(Usage, ADaemonOfALargeFleetSendsNoMoreThanItsBudget) {
  EXPECT_LE(LargeFleet().mean, kBudgetPerSecond);
}

TEST(Usage, TheReportingDaemonOfALargeFleetReceivesNoMoreThanItsBudget) {
  EXPECT_LE(LargeFleet().most, kBudgetPerSecond);
}

RC_GTEST_PROP(UsageMessages, TornBytesAreRefusedOrRead, ()) {
  usage_counts_message message;
  message.counter = incarnation_id(7);
  message.counts = {{"a", 1}, {"b", 300}};
  auto bytes = EncodeUsageCounts(message).front();
  RC_ASSERT(DecodeUsageCounts({bytes.data(), bytes.size()}).has_value());
  bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<std::uint8_t>();
  DecodeUsageCounts({bytes.data(), bytes.size()});
  DecodeUsageHeard({bytes.data(), bytes.size()});
  std::string text = EncodeUsageRecord({9, 1, {{{8, {{"a", 1}}}, 2, 3}}}, 5);
  RC_ASSERT(DecodeUsageRecord(text).has_value());
  text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
  DecodeUsageRecord(text);
}

}  // namespace
}  // namespace hawthorndrum
