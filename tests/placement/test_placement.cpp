/// Tests of where requests are placed, and when they are refused.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "crossing/crossing_policy.h"
#include "fake_random_source.h"
#include "gateway/engine_placement.h"
#include "gateway/engine_speeds.h"
#include "gateway/fleet_table.h"
#include "gateway/gateway_config.h"
#include "gateway/prompt.h"
#include "gateway/service_placement.h"

namespace hawthorndrum {
namespace {

class PlacementTest : public testing::Test {
 protected:
  PlacementTest()
      : crossing({}, "north", random),
        engines(fleet, speeds, random, crossing),
        services(fleet, crossing) {
    crossing.SetDaemons({{"north", 1}});
    llm.name = "llm";
    llm.is_engine = true;
    llm.memory_tokens = 500000;
    llm.token_bytes = 160000;
    llm.link_mbps = 2e6;
    desk.name = "desk";
  }
  fleet_upstream& Add(const std::string& id, const std::string& service, engine_stage stage,
                      const std::string& data_centre = "north") {
    upstream_entry entry;
    entry.id = id;
    entry.service = service;
    entry.stage = stage;
    entry.data_centre = data_centre;
    entry.slots = stage == engine_stage::kNone ? 6 : 64;
    return fleet.Put(entry);
  }
  static prompt Prompt(std::uint64_t group, std::uint64_t shared, std::uint64_t own) {
    return {{{group, shared}, {group * 1000 + own, own}}, 100};
  }
  placement_query Query(const prompt& asked) {
    placement_query query;
    query.service = &llm;
    query.asked = &asked;
    query.tried = &tried;
    query.longest_pause = milliseconds(200);
    query.time_left = seconds(4);
    return query;
  }
  /** A query for a prompt that was prefilled by an engine that is no longer known. */
  placement_query PrefilledQuery(const prompt& asked) {
    prefilled_prompt = asked;
    placement_query query = Query(prefilled_prompt);
    query.is_prefilled = true;
    return query;
  }
  placement_query Call() {
    placement_query query;
    query.service = &desk;
    query.tried = &tried;
    query.time_left = seconds(1);
    return query;
  }

  fleet_table fleet;
  engine_speeds speeds;
  fake_random_source random;
  crossing_policy crossing;
  engine_placement engines;
  service_placement services;
  gateway_service llm;
  gateway_service desk;
  std::vector<upstream_id> tried;
  prompt prefilled_prompt;
  time_point now{seconds(100)};
};

TEST_F(PlacementTest, LongPromptsAreNotPrefilledWhereStreamsRun) {
  Add("d", "llm", engine_stage::kDecode).own.running = 20;
  const upstream_id prefill_engine = Add("p", "llm", engine_stage::kPrefill).id;
  const prompt asked = Prompt(1, 9000, 4000);
  const auto place = engines.Choose(Query(asked), now);
  ASSERT_TRUE(place);
  EXPECT_EQ(place->prefills_at, prefill_engine);
}

TEST_F(PlacementTest, AFewTokensArePrefilledAtTheDecodeEngine) {
  fleet_upstream& decode_engine = Add("d", "llm", engine_stage::kDecode);
  Add("p", "llm", engine_stage::kPrefill);
  const prompt asked = Prompt(1, 9000, 60);
  decode_engine.cache.RecordPrompt(asked, now);
  const auto place = engines.Choose(Query(asked), now);
  ASSERT_TRUE(place);
  EXPECT_FALSE(place->prefills_at);
}

// Guards against long prefills beside streams: decode engines were assumed to hold the shared parts
// of the groups that hash to them, which nobody had sent there.
TEST_F(PlacementTest, SharedPartsThatNoOneSentToADecodeEngineArePrefilledApart) {
  Add("d", "llm", engine_stage::kDecode).own.running = 20;
  Add("p", "llm", engine_stage::kPrefill);
  const prompt asked = Prompt(1, 9000, 60);
  const auto place = engines.Choose(Query(asked), now);
  ASSERT_TRUE(place);
  EXPECT_TRUE(place->prefills_at);
}

TEST_F(PlacementTest, ShortPromptsAreNotPrefilledApartForTheSakeOfAnIdleEngine) {
  Add("d", "llm", engine_stage::kDecode).own.running = 20;
  Add("p", "llm", engine_stage::kPrefill);
  const prompt asked = Prompt(1, 90, 100);
  const auto place = engines.Choose(Query(asked), now);
  ASSERT_TRUE(place);
  EXPECT_FALSE(place->prefills_at);
}

// Guards against the collapse of a burst of long prompts: with queues as long as the time limit,
// every prompt was admitted and nearly all ran out of time.
TEST_F(PlacementTest, APromptThatWouldWaitForLongerThanItsObjectiveIsRefused) {
  Add("d", "llm", engine_stage::kDecode).own.running = 20;
  fleet_upstream& prefill_engine = Add("p", "llm", engine_stage::kPrefill);
  const prompt asked = Prompt(3, 9000, 2000);
  placement_query query = Query(asked);
  query.objective = milliseconds(400);
  prefill_engine.peers.unread_tokens = 10'000;  // 250 ms at the initial estimate of the speed
  EXPECT_TRUE(engines.Choose(query, now));
  prefill_engine.peers.unread_tokens = 40'000;
  const auto place = engines.Choose(query, now);
  ASSERT_FALSE(place);
  EXPECT_EQ(place.error().reason, "engines_behind");
  EXPECT_GT(place.error().retry_after, milliseconds(500));
  EXPECT_LT(place.error().retry_after, milliseconds(1200));
  // A request that has been sent already is not given up for being late.
  query.objective = duration(0);
  EXPECT_TRUE(engines.Choose(query, now));
}

TEST_F(PlacementTest, StreamsThatStillHaveTimeDoNotKeepAPromptFromTheirEngine) {
  Add("d", "llm", engine_stage::kDecode).own.running = 60;
  Add("p", "llm", engine_stage::kPrefill).peers.unread_tokens = 60'000;
  const prompt asked = Prompt(3, 100, 300);
  placement_query query = Query(asked);
  query.longest_pause = seconds(1);
  EXPECT_FALSE(engines.Choose(query, now)->prefills_at);
}

// Guards against a group spreading over all engines as soon as their waits differ slightly: three
// quarters of all prefill work on the bench was then repeated work.
TEST_F(PlacementTest, AGroupStaysAtItsAffinityEngineUnderUnevenWaits) {
  Add("d", "llm", engine_stage::kDecode);
  for (const char* id : {"p", "q", "r", "s", "t", "u"}) Add(id, "llm", engine_stage::kPrefill);
  const prompt asked = Prompt(3, 9000, 2000);
  const upstream_id affinity_engine = engines.Choose(Query(asked), now)->prefills_at;
  fleet.Find(affinity_engine)->peers.unread_tokens = 15000;
  EXPECT_EQ(engines.Choose(Query(asked), now)->prefills_at, affinity_engine);
}

TEST_F(PlacementTest, AnOverloadedAffinityEngineIsReplacedByOneOther) {
  Add("d", "llm", engine_stage::kDecode);
  for (const char* id : {"p", "q", "r", "s", "t", "u"}) Add(id, "llm", engine_stage::kPrefill);
  const prompt asked = Prompt(3, 9000, 2000);
  const upstream_id affinity_engine = engines.Choose(Query(asked), now)->prefills_at;
  fleet.Find(affinity_engine)->peers.unread_tokens = 60000;
  const upstream_id second = engines.Choose(Query(asked), now)->prefills_at;
  EXPECT_NE(second, affinity_engine);
  const prompt other = Prompt(3, 9000, 500);
  EXPECT_EQ(engines.Choose(Query(other), now)->prefills_at, second);
}

TEST_F(PlacementTest, GroupsSpreadEvenlyOverPrefillEngines) {
  Add("d", "llm", engine_stage::kDecode);
  for (int i = 0; i < 10; ++i) Add("p" + std::to_string(i), "llm", engine_stage::kPrefill);
  std::map<upstream_id, int> groups;
  for (std::uint64_t group = 1; group <= 500; ++group) {
    const prompt asked = Prompt(group, 9000, 2000);
    groups[engines.Choose(Query(asked), now)->prefills_at] += 1;
  }
  EXPECT_EQ(groups.size(), 10u);
  for (const auto& [prefill_engine, count] : groups) EXPECT_LT(count, 2 * 50);
}

TEST_F(PlacementTest, APromptThatCannotBePrefilledInTimeIsRefusedWithRetryAfter) {
  Add("d", "llm", engine_stage::kDecode).peers.unread_tokens = 2'000'000;
  Add("p", "llm", engine_stage::kPrefill).peers.unread_tokens = 2'000'000;
  const prompt asked = Prompt(3, 9000, 2000);
  const auto place = engines.Choose(Query(asked), now);
  ASSERT_FALSE(place);
  EXPECT_EQ(place.error().reason, "engines_behind");
  EXPECT_GT(place.error().retry_after, seconds(10));
}

TEST_F(PlacementTest, ARecentlyFailedEngineIsChosenOnlyAsALastResort) {
  Add("p", "llm", engine_stage::kPrefill);
  Add("d", "llm", engine_stage::kDecode).avoid_until = now + seconds(1);
  const upstream_id sound = Add("e", "llm", engine_stage::kDecode).id;
  const prompt asked = Prompt(3, 9000, 2000);
  EXPECT_EQ(engines.Choose(Query(asked), now)->runs_at, sound);
  fleet.Find(sound)->entry.leaving = true;
  EXPECT_TRUE(engines.Choose(Query(asked), now));
}

TEST_F(PlacementTest, ASlowEngineIsDetectedAndItsEstimateRecovers) {
  fleet_upstream& slow = Add("p", "llm", engine_stage::kPrefill);
  const double before = speeds.TokensPerMs(slow, now);
  for (int i = 0; i < 10; ++i) speeds.Observe(slow, {10000, 0, 10000, 10000}, seconds(2), now);
  EXPECT_LT(speeds.TokensPerMs(slow, now), before / 2);
  EXPECT_GT(speeds.TokensPerMs(slow, now + seconds(30)), before * 0.8);
}

// For some hundred milliseconds all daemons see the same engine as idle. If all chose it, its link
// would be saturated: on the bench, first tokens then took 600 ms there and 50 ms at the others.
TEST_F(PlacementTest, GenerationsDoNotAllGoToTheOneEngineThatLooksIdle) {
  Add("p", "llm", engine_stage::kPrefill);
  for (int i = 0; i < 20; ++i) {
    Add("d" + std::to_string(i), "llm", engine_stage::kDecode).peers.running = i == 0 ? 0 : 12;
  }
  placement_query query = PrefilledQuery(Prompt(1, 9000, 2000));
  std::map<upstream_id, int> chosen;
  for (int i = 0; i < 1000; ++i) chosen[engines.Choose(query, now)->runs_at] += 1;
  int most = 0;
  for (const auto& [engine, count] : chosen) most = std::max(most, count);
  // Twice the minimum that the idle engine gets if each choice draws four engines of twenty.
  EXPECT_LT(most, 400);
  EXPECT_GE(chosen.size(), 15u);
}

// The same for prompts that are short enough to be prefilled where they are decoded: in a burst,
// all of 77 daemons sent theirs to the engine that had looked idle, which refused them.
TEST_F(PlacementTest, ShortPromptsDoNotAllGoToTheOneEngineThatLooksIdle) {
  for (int i = 0; i < 20; ++i) {
    Add("d" + std::to_string(i), "llm", engine_stage::kDecode).peers.running = i == 0 ? 0 : 12;
  }
  std::map<upstream_id, int> chosen;
  for (std::uint64_t i = 1; i <= 1000; ++i) {
    const prompt asked = Prompt(i, 90, 200);
    chosen[engines.Choose(Query(asked), now)->runs_at] += 1;
  }
  int most = 0;
  for (const auto& [engine, count] : chosen) most = std::max(most, count);
  EXPECT_LT(most, 400);
  EXPECT_GE(chosen.size(), 15u);
}

TEST_F(PlacementTest, AnEngineThatIsFetchingMuchGetsLess) {
  for (int i = 0; i < 4; ++i) {
    Add("d" + std::to_string(i), "llm", engine_stage::kDecode).peers.fetching_tokens =
        i == 0 ? 800'000 : 20'000;
  }
  const upstream_id busy = fleet.FindEntry("d0")->id;
  placement_query query = PrefilledQuery(Prompt(1, 9000, 2000));
  for (int i = 0; i < 100; ++i) EXPECT_NE(engines.Choose(query, now)->runs_at, busy);
}

TEST_F(PlacementTest, APrefilledPromptStaysInItsDataCentreWhileThatIsNotBusy) {
  fleet_upstream& prefill_engine = Add("p", "llm", engine_stage::kPrefill, "south");
  const upstream_id near = Add("d0", "llm", engine_stage::kDecode, "south").id;
  const upstream_id far = Add("d1", "llm", engine_stage::kDecode).id;
  placement_query query = PrefilledQuery(Prompt(1, 9000, 2000));
  query.prefilled_at = &prefill_engine;
  EXPECT_EQ(engines.Choose(query, now)->runs_at, near);
  fleet.Find(near)->peers.fetching_tokens = 800'000;
  EXPECT_EQ(engines.Choose(query, now)->runs_at, far);
}

TEST_F(PlacementTest, AvoidedEnginesAreDrawnOnlyWhenAllAreAvoided) {
  for (int i = 0; i < 20; ++i) {
    Add("d" + std::to_string(i), "llm", engine_stage::kDecode).avoid_until = now + seconds(1);
  }
  placement_query query = PrefilledQuery(Prompt(1, 9000, 2000));
  EXPECT_TRUE(engines.Choose(query, now));
  const upstream_id sound = Add("e", "llm", engine_stage::kDecode).id;
  for (int i = 0; i < 50; ++i) EXPECT_EQ(engines.Choose(query, now)->runs_at, sound);
}

TEST_F(PlacementTest, CallsPreferTheUpstreamNearbyUntilItIsBusy) {
  const upstream_id near = Add("a", "desk", engine_stage::kNone).id;
  const upstream_id far = Add("b", "desk", engine_stage::kNone, "south").id;
  EXPECT_EQ(services.Choose(Call(), now)->runs_at, near);
  fleet.Find(near)->peers.running = 6;
  EXPECT_EQ(services.Choose(Call(), now)->runs_at, far);
}

TEST_F(PlacementTest, PaymentsAvoidAnUpstreamThatFailsSomeCalls) {
  Add("a", "desk", engine_stage::kNone).failure_share = 0.3;
  const upstream_id sound = Add("b", "desk", engine_stage::kNone, "south").id;
  placement_query pay = Call();
  pay.failure_is_final = true;
  EXPECT_EQ(services.Choose(pay, now)->runs_at, sound);
}

TEST_F(PlacementTest, FullUpstreamsAreNotAskedAgain) {
  Add("a", "desk", engine_stage::kNone).peers.running = 60;
  const auto place = services.Choose(Call(), now);
  ASSERT_FALSE(place);
  EXPECT_EQ(place.error().reason, "upstreams_full");
}

// Load: the near upstream is gone, or queues so much that an answer there would be late, while one
// elsewhere has a free slot. Shares of many daemons are far below one call.
TEST_F(PlacementTest, CallsThatWouldBeLateNearbyLeaveWhileThereIsAFreeSlot) {
  crossing.SetDaemons({{"north", 500}, {"south", 500}});
  fleet_upstream& far = Add("b", "desk", engine_stage::kNone, "south");
  EXPECT_EQ(services.Choose(Call(), now)->leaves, crossing_reason::kNoneNear);
  fleet_upstream& near = Add("a", "desk", engine_stage::kNone);
  near.peers.running = 4;
  placement_query query = Call();
  query.objective = milliseconds(60);
  EXPECT_EQ(services.Choose(query, now)->runs_at, near.id);
  near.peers.running = 20;
  EXPECT_EQ(services.Choose(query, now)->runs_at, far.id);
  EXPECT_EQ(services.Choose(query, now)->leaves, crossing_reason::kNoneNear);
  far.peers.running = 6;
  EXPECT_EQ(services.Choose(query, now)->runs_at, near.id);
}

// Load: callers of a group whose prompt is cached elsewhere, and callers of others beside idle
// engines elsewhere; bytes are free, usual and dear.
TEST_F(PlacementTest, PromptsLeaveForACacheButNotForLittleTime) {
  const upstream_id near = Add("d0", "llm", engine_stage::kDecode).id;
  fleet_upstream& far = Add("d1", "llm", engine_stage::kDecode, "south");
  const prompt asked = Prompt(1, 9000, 60);
  far.cache.RecordPrompt(asked, now);
  placement_query query = Query(asked);
  query.request_bytes = 40'000;
  const auto cached = engines.Choose(query, now);
  EXPECT_EQ(cached->runs_at, far.id);
  EXPECT_EQ(cached->leaves, crossing_reason::kCache);
  const prompt other = Prompt(2, 90, 60);
  query.asked = &other;
  fleet.Find(near)->peers.running = 20;  // 10 ms
  EXPECT_EQ(engines.Choose(query, now)->runs_at, near);
  crossing_policy free_bytes({0, 0}, "north", random);
  free_bytes.SetDaemons({{"north", 1}});
  const engine_placement careless(fleet, speeds, random, free_bytes);
  EXPECT_EQ(careless.Choose(query, now)->leaves, crossing_reason::kRoom);
}

}  // namespace
}  // namespace hawthorndrum
