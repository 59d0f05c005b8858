/// Tests of requests that crash the upstreams that run them.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_fleet.h"

namespace hawthorndrum {
namespace {

constexpr int kMaxCrashes = 2;

/** One request of a run: the daemon that gets it, and when. */
struct planned_request {
  std::size_t daemon = 0;
  duration at{0};
  bool is_poison = false;
  request_id id;
};

void RunPlan(fake_fleet& fleet, std::vector<planned_request>& plan) {
  int number = 0;
  for (planned_request& one : plan) {
    number += 1;
    fleet.events.After(one.at, [&fleet, &one, number] {
      const std::string text = one.is_poison ? "CRASH" : "innocent" + std::to_string(number);
      one.id = fleet.Post(one.daemon, "chat", fake_fleet::Body(text, 200, 4));
    });
  }
  fleet.RunFor(seconds(60));
}

TEST(Poison, TakesDownAtMostTwoUpstreamsHoweverOftenItIsSent) {
  fake_fleet fleet(1, 5, milliseconds(100));
  std::vector<planned_request> plan;
  plan.reserve(20);
  for (int i = 0; i < 20; ++i) plan.push_back({0, milliseconds(400) * i, true, {}});
  RunPlan(fleet, plan);
  EXPECT_LE(fleet.Crashes(), kMaxCrashes);
  EXPECT_GE(fleet.Crashes(), 1);
  const caller_record& last = fleet.daemons[0]->Caller(plan.back().id);
  EXPECT_EQ(last.status, 422);
  EXPECT_NE(last.body.find("\"outcome\":\"not_run\""), std::string::npos);
}

TEST(Poison, SentAtTheSameMomentToSeveralDaemons) {
  for (const int daemons : {2, 3, 8}) {
    fake_fleet fleet(daemons, 8, milliseconds(100));
    std::vector<planned_request> plan;
    plan.reserve(3 * static_cast<std::size_t>(daemons));
    for (int i = 0; i < 3 * daemons; ++i) {
      plan.push_back({static_cast<std::size_t>(i % daemons), milliseconds(0), true, {}});
    }
    RunPlan(fleet, plan);
    EXPECT_LE(fleet.Crashes(), kMaxCrashes) << daemons;
    for (const planned_request& one : plan) {
      EXPECT_TRUE(fleet.daemons[one.daemon]->Caller(one.id).HasEnded());
    }
  }
}

TEST(Poison, IsAllowedAgainAfterAnHour) {
  fake_fleet fleet(1, 4, milliseconds(100));
  std::vector<planned_request> plan{{0, milliseconds(0), true, {}}};
  RunPlan(fleet, plan);
  EXPECT_EQ(fleet.Crashes(), kMaxCrashes);
  fleet.RunFor(seconds(3600));
  const request_id id = fleet.Post(0, "chat", fake_fleet::Body("CRASH", 200, 4));
  EXPECT_NE(fleet.daemons[0]->Caller(id).status, 422);
}

/// Guards against clearing suspects by bytes that were in flight when the engine was lost: they do
/// not prove that it is alive.
TEST(Poison, LateBytesOfALostEngineClearNobody) {
  request_path path;
  path.AddEngine("e:1");
  path.Chat("innocent");
  const sent_attempt innocent = path.Last();
  path.Chat("CRASH");
  const sent_attempt poison = path.Last();
  path.AddEngine("e:2");
  path.Tick(milliseconds(100));
  path.Head(innocent.attempt);
  path.Lose(poison.attempt);
  path.Bytes(innocent.attempt, request_path::Tokens(0, 1));
  path.Lose(innocent.attempt);
  path.Tick(milliseconds(200));
  // The suspects run one at a time: one waits while the other has the remaining engine to itself.
  EXPECT_EQ(path.port.sent.size(), 3U);
  const auto standing = path.system->poison().Report("");
  ASSERT_TRUE(standing.has_value());
  EXPECT_EQ((*standing)["fingerprints"].size(), 2U);
}

TEST(Poison, BytesLongAfterALossShowThatOnlyAConnectionWasCut) {
  request_path path;
  path.AddEngine("e:1");
  path.Chat("streams on");
  const sent_attempt streams = path.Last();
  path.Chat("cut");
  const sent_attempt cut = path.Last();
  path.AddEngine("e:2");
  path.Tick(milliseconds(100));
  path.Head(streams.attempt);
  path.Lose(cut.attempt);
  path.Tick(seconds(2));
  path.Bytes(streams.attempt, request_path::Tokens(0, 1));
  EXPECT_EQ((*path.system->poison().Report(""))["fingerprints"].size(), 0U);
}

RC_GTEST_PROP(Poison, InnocentsAreAnsweredWhateverTheOrder, ()) {
  const auto daemons = *rc::gen::inRange(1, 5);
  const auto engines = *rc::gen::inRange(4, 7);
  const auto seed = *rc::gen::inRange(1, 1000);
  const auto lag = milliseconds(*rc::gen::element(100, 1000));
  fake_fleet fleet(daemons, engines, lag, static_cast<std::uint64_t>(seed));
  std::vector<planned_request> plan;
  const auto count = *rc::gen::inRange(5, 40);
  for (int i = 0; i < count; ++i) {
    planned_request one;
    one.daemon = static_cast<std::size_t>(*rc::gen::inRange(0, daemons));
    one.at = milliseconds(*rc::gen::inRange(0, 1500));
    one.is_poison = *rc::gen::inRange(0, 4) == 0;
    plan.push_back(one);
  }
  RunPlan(fleet, plan);
  RC_ASSERT(fleet.Crashes() <= kMaxCrashes);
  for (const planned_request& one : plan) {
    const caller_record& caller = fleet.daemons[one.daemon]->Caller(one.id);
    RC_ASSERT(caller.HasEnded());
    if (!one.is_poison) RC_ASSERT(caller.LooksComplete());
  }
}

}  // namespace
}  // namespace hawthorndrum
