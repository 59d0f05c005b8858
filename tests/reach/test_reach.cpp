/// Tests upstreams that cannot be connected to: crashed engines, data centres that are cut off.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "gateway_fixture.h"

namespace hawthorndrum {
namespace {

class ReachTest : public GatewayFixtureTest {
 protected:
  void AddEngines(int count, const std::string& data_centre) {
    for (int i = 0; i < count; ++i) {
      upstream_entry entry;
      entry.id = data_centre + std::to_string(i);
      entry.service = "llm";
      entry.address = "10.0.0.2:" + std::to_string(++last_port);
      entry.data_centre = data_centre;
      entry.stage = i % 3 == 0 ? engine_stage::kDecode : engine_stage::kPrefill;
      entry.slots = 64;
      const upstream_id id = served.fleet().Put(entry).id;
      if (data_centre == "south") cut.insert(id);
    }
  }
  /** Sends a prompt and answers all of its calls; those to cut engines fail to connect. */
  request_id RunPrompt(const std::string& group) {
    const request_id id = AskPrompt("/tell/", group, 4000, 1500);
    std::size_t handled = upstreams.sent.size() - 1;
    while (handled < upstreams.sent.size()) {
      const upstream_call call = upstreams.sent[handled++].call;
      if (cut.count(call.upstream) > 0) {
        ++failed_calls;
        Lost(attempt_failure::kNotConnected, false);
      } else if (FindHeader(call.request.headers, "X-Hawthorndrum-Stage").empty()) {
        Answered("id: 1\ndata: a\n\n");
      } else {
        PrefillDone();
      }
    }
    return id;
  }
  void EndProbes() {
    const std::vector<upstream_id> ended = std::exchange(upstreams.probes, {});
    for (const upstream_id id : ended) served.OnProbeEnded({id, cut.count(id) == 0});
  }

  std::set<upstream_id> cut;
  int failed_calls = 0;
};

// Guards against repeated calls to unreachable engines: with one data centre of three cut off, two
// thousand calls a second failed, and requests were refused although other engines had capacity.
TEST_F(ReachTest, ACutDataCentreCostsOneCallForEachOfItsEnginesAndNoRequest) {
  AddEngines(12, "north");
  AddEngines(12, "south");
  for (int second = 0; second < 5; ++second) {
    for (int i = 0; i < 40; ++i) {
      const request_id id = RunPrompt("a" + std::to_string(i));
      EXPECT_EQ(CallerOf(id).status, 200) << "second " << second << ", prompt " << i;
      Pass(milliseconds(25));
      EndProbes();
    }
  }
  EXPECT_LE(failed_calls, 12);
  EXPECT_GT(failed_calls, 0);
}

TEST_F(ReachTest, ARegainedEngineGetsRequestsAgainAndALostOneNone) {
  AddEngines(1, "south");
  const upstream_id only = *cut.begin();
  RunPrompt("a1");
  EXPECT_TRUE(served.fleet().Find(only)->reachability.is_lost);
  const auto sent = upstreams.sent.size();
  Ask("/tell/", {{"X-Hawthorndrum-Token-Count", "100,10"}});
  EXPECT_EQ(upstreams.sent.size(), sent);
  cut.clear();
  Pass(milliseconds(10));
  EndProbes();
  EXPECT_FALSE(served.fleet().Find(only)->reachability.is_lost);
  EXPECT_EQ(CallerOf(RunPrompt("a2")).status, 200);
  EXPECT_NE(log.LastOf("upstream_lost"), "");
  EXPECT_NE(log.LastOf("upstream_regained"), "");
}

TEST_F(ReachTest, ProbesOfALostEngineBackOff) {
  AddEngines(1, "south");
  RunPrompt("a1");
  std::size_t probes = 0;
  for (int i = 0; i < 200; ++i) {
    Pass(milliseconds(50));
    probes += upstreams.probes.size();
    EndProbes();
  }
  EXPECT_GE(probes, 10u);
  EXPECT_LE(probes, 28u);
}

TEST_F(ReachTest, AnAnswerShowsThatALostUpstreamIsBack) {
  const upstream_id desk = Add("d1", "desk");
  Ask("/look/1");
  const upstream_call open = last().call;
  served.fleet().Find(desk)->reachability.is_lost = true;
  served.OnAttemptHead({open.attempt, 200, {{"X-Hawthorndrum-Response-Seal", "s"}}});
  EXPECT_FALSE(served.fleet().Find(desk)->reachability.is_lost);
}

TEST_F(ReachTest, PromptsThatWaitAtALostEngineAreReadElsewhere) {
  AddEngines(6, "north");
  const request_id first = AskPrompt("/tell/", "a1", 4000, 1500);
  const upstream_call waiting = last().call;
  cut = {waiting.upstream};
  Pass(milliseconds(400));
  const request_id second = AskPrompt("/tell/", "a1", 4000, 1500);
  ASSERT_EQ(last().call.upstream, waiting.upstream);
  Lost(attempt_failure::kNotConnected, false);
  EXPECT_NE(last().call.upstream, waiting.upstream);
  Pass(milliseconds(310));
  EXPECT_TRUE(upstreams.sent.front().cancelled);
  EXPECT_EQ(last().call.caller_id, "q1");
  EXPECT_NE(last().call.upstream, waiting.upstream);
  EXPECT_NE(first, second);
}

// Guards against repeated calls to an engine that refuses them but looks idle. A daemon that was
// cut off from the store sent prompts to an engine that had changed its stage, which refused each
// of them: 410 extra calls in ten seconds of 283.
TEST_F(ReachTest, AnEngineThatRefusesReadingsIsLeftAloneWhateverItSays) {
  Add("d1", "llm", engine_stage::kDecode);
  const upstream_id one = Add("p1", "llm", engine_stage::kPrefill);
  const upstream_id other = Add("p2", "llm", engine_stage::kPrefill);
  std::map<upstream_id, int> refused;
  for (int i = 0; i < 100; ++i) {
    const std::size_t before = upstreams.sent.size();
    AskPrompt("/tell/", "a" + std::to_string(i), 4000, 1500);
    const bool sent = upstreams.sent.size() > before;
    if (sent && (last().call.upstream == one || last().call.upstream == other)) {
      const upstream_id at = last().call.upstream;
      ++refused[at];
      const int status = at == one ? 421 : 503;
      served.OnAttemptHead({last().call.attempt, status, {{"X-Hawthorndrum-Not-Executed", "1"}}});
      Done();
    }
    Pass(milliseconds(20));
  }
  // Called again at most every two seconds, or with increasing delays.
  EXPECT_LE(refused[one], 2);
  EXPECT_LE(refused[other], 8);
}

/** Ends every call and probe as a host without descriptors does. */
class NoDescriptorsTest : public ReachTest {
 protected:
  void EndAll(bool has_descriptors) {
    for (; handled < upstreams.sent.size(); ++handled) {
      if (has_descriptors) {
        Answered("body");
      } else {
        Lost(attempt_failure::kNoResources, false);
      }
    }
    for (const upstream_id id : std::exchange(upstreams.probes, {}))
      served.OnProbeEnded({id, has_descriptors, has_descriptors});
  }

  std::size_t handled = 0;
};

// Guards against a daemon that takes all upstreams for lost since it is out of descriptors itself.
TEST_F(NoDescriptorsTest, ALackOfDescriptorsLosesNoUpstream) {
  std::vector<upstream_id> desks;
  for (const char* id : {"d1", "d2", "d3"}) desks.push_back(Add(id, "desk"));
  served.SetDaemons({{"g2", "10.9.0.2:7600", "south"}});
  for (int i = 0; i < 40; ++i) {
    for (const char* path : {"/look/1", "/pay/1"}) {
      const std::size_t before = upstreams.sent.size();
      const request_id id = Ask(path);
      EndAll(false);
      EXPECT_EQ(upstreams.sent.size(), before + 1) << path;
      EXPECT_EQ(CallerOf(id).status, 503) << path;
      EXPECT_NE(FindHeader(CallerOf(id).headers, "Retry-After"), "") << path;
      EXPECT_NE(CallerOf(id).body.find("host_lacks_resources"), std::string::npos) << path;
    }
    Pass(milliseconds(100));
    EndAll(false);
  }
  for (const upstream_id id : desks) EXPECT_FALSE(served.fleet().Find(id)->reachability.is_lost);
  for (const char* line : {"upstream_lost", "upstreams_cut_off"}) EXPECT_EQ(log.LastOf(line), "");
  for (const char* path : {"/look/1", "/pay/1"}) {
    const request_id id = Ask(path);
    EndAll(true);
    EXPECT_EQ(CallerOf(id).status, 200) << path;
  }
}

TEST_F(NoDescriptorsTest, ALostUpstreamIsProbedUntilDescriptorsAreFree) {
  const upstream_id desk = Add("d1", "desk");
  Ask("/look/1");
  handled = upstreams.sent.size();
  Lost(attempt_failure::kNotConnected, false);
  for (int i = 0; i < 50; ++i) {
    Pass(milliseconds(100));
    EndAll(false);
  }
  EXPECT_TRUE(served.fleet().Find(desk)->reachability.is_lost);
  EXPECT_EQ(served.fleet().Find(desk)->reachability.failed_probes, 0);
  for (int i = 0; i < 9; ++i) {
    Pass(milliseconds(100));
    EndAll(true);
  }
  EXPECT_FALSE(served.fleet().Find(desk)->reachability.is_lost);
}

TEST_F(NoDescriptorsTest, APromptThatIsNotSentIsRefusedOnce) {
  AddEngines(6, "north");
  const request_id id = AskPrompt("/tell/", "a1", 4000, 1500);
  EndAll(false);
  EXPECT_EQ(upstreams.sent.size(), 1u);
  EXPECT_EQ(CallerOf(id).status, 503);
  EXPECT_EQ(served.in_flight(), 0u);
}

}  // namespace
}  // namespace hawthorndrum
