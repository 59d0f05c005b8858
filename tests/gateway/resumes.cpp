/// Tests of streams that go on at another upstream or in another attempt of their caller.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "entry_decoder.h"
#include "gateway_fixture.h"
#include "resumes/change_check_port.h"

namespace hawthorndrum {
namespace {

class ResumesTest : public GatewayFixtureTest {
 protected:
  static std::string Event(int id) { return "id: " + std::to_string(id) + "\ndata: t\n\n"; }

  /** Lists a decode engine as the platform does. */
  void List(const std::string& id, const std::string& version, const std::string& state = "ready") {
    const nlohmann::json spec = {
        {"service", "llm"},  {"addr", "10.0.0.1:" + std::to_string(++last_port)},
        {"zone", "north"},   {"version", version},
        {"slots", 64u},      {"state", state},
        {"phase", "decode"}, {"cold_left_ms", 0},
        {"seq", 1u}};
    const auto entry = DecodeEntry(id, spec);
    ASSERT_TRUE(entry);
    served.fleet().Put(*entry);
  }
  void ListMany(const std::string& prefix, const std::string& version, int count) {
    for (int i = 0; i < count; ++i) List(prefix + std::to_string(i), version);
  }
  std::string SentTo() const { return std::string(SentHeader("X-Hawthorndrum-Expect-Instance")); }
  request_id Begin() {
    const request_id id = AskPrompt("/tell/x", "aa", 100, 50);
    Head(200);
    Bytes(Event(1));
    return id;
  }
  request_id ResumeAfterFirstEvent(const std::string& attempt) {
    return Ask("/tell/x", {{"X-Hawthorndrum-Model", "m"},
                           {"X-Hawthorndrum-Token-Count", "150,100"},
                           {"X-Hawthorndrum-Prompt-Prefix", "aa:100,bb:50"},
                           {"Last-Event-Id", "1"},
                           {"Resumes", attempt}});
  }
  /** Resumes a stream that no daemon remembers. */
  request_id ResumeUnremembered() {
    const request_id id = ResumeAfterFirstEvent("lost");
    served.OnOrigin(StreamKeyOf("lost"), std::nullopt);
    return id;
  }
  void ExpectRefused(request_id id) {
    EXPECT_TRUE(upstreams.sent.empty());
    EXPECT_EQ(CallerOf(id).status, 503);
    EXPECT_FALSE(FindHeader(CallerOf(id).headers, "Retry-After").empty());
    EXPECT_EQ(served.in_flight(), 0u);
  }

  static constexpr duration kLongEnough = single_build::kShortestWindow + seconds(1);
};

TEST_F(ResumesTest, AStreamGoesOnOnlyAtTheSoftwareVersionThatBeganIt) {
  List("new0", "v2");
  Begin();
  ListMany("old", "v1", 5);
  List("new1", "v2");
  Lost();
  ASSERT_EQ(upstreams.sent.size(), 2u);
  EXPECT_EQ(SentTo(), "new1");
}

TEST_F(ResumesTest, AStreamIsCutRatherThanJoinedWithAnotherSoftwareVersion) {
  List("new0", "v2");
  const request_id id = Begin();
  ListMany("old", "v1", 5);
  Lost();
  EXPECT_EQ(upstreams.sent.size(), 1u);
  EXPECT_EQ(CallerOf(id).aborts, 1);
}

TEST_F(ResumesTest, ACallersResumptionGoesToTheSoftwareVersionThatBeganTheStream) {
  List("new0", "v2");
  const request_id id = Begin();
  ListMany("old", "v1", 5);
  served.OnCallerGone(id);
  fleet_upstream* first = served.fleet().FindEntry("new0");
  first->cache.Clear();
  first->peers.running = 40;
  ResumeAfterFirstEvent("q1");
  ASSERT_EQ(upstreams.sent.size(), 2u);
  EXPECT_EQ(SentTo(), "new0");
}

TEST_F(ResumesTest, OtherDaemonsKnowTheOriginBeforeTheCallerHasAnEvent) {
  List("new0", "v2");
  AskPrompt("/tell/x", "aa", 100, 50);
  Head(200);
  EXPECT_TRUE(origins.known.empty());
  Bytes(Event(1));
  EXPECT_EQ(origins.known[StreamKeyOf("q1")], BuildOf("llm", "v2"));
}

TEST_F(ResumesTest, AResumptionWaitsForTheAnswerOfOtherDaemons) {
  List("old0", "v1");
  List("new0", "v2");
  ResumeAfterFirstEvent("elsewhere");
  EXPECT_TRUE(upstreams.sent.empty());
  EXPECT_EQ(served.in_flight(), 1u);
  ASSERT_EQ(origins.asked, std::vector<stream_key>{StreamKeyOf("elsewhere")});
  served.OnOrigin(StreamKeyOf("elsewhere"), BuildOf("llm", "v1"));
  ASSERT_EQ(upstreams.sent.size(), 1u);
  EXPECT_EQ(SentTo(), "old0");
  EXPECT_EQ(SentHeader("Last-Event-Id"), "1");
  Head(200);
  Bytes(Event(2));
  EXPECT_EQ(origins.known[StreamKeyOf("elsewhere")], BuildOf("llm", "v1"))
      << "a further attempt names the same one";
}

TEST_F(ResumesTest, AStreamOfUnknownOriginIsRefusedAndNotRun) {
  List("old0", "v1");
  const request_id id = ResumeAfterFirstEvent("elsewhere");
  served.OnOrigin(StreamKeyOf("elsewhere"), std::nullopt);
  EXPECT_TRUE(upstreams.sent.empty());
  EXPECT_EQ(CallerOf(id).status, 503);
  EXPECT_FALSE(FindHeader(CallerOf(id).headers, "Retry-After").empty());
  EXPECT_EQ(served.in_flight(), 0u);
}

TEST_F(ResumesTest, AResumptionWhoseCallerHasGoneIsNotSent) {
  List("old0", "v1");
  const request_id id = ResumeAfterFirstEvent("elsewhere");
  served.OnCallerGone(id);
  served.OnOrigin(StreamKeyOf("elsewhere"), BuildOf("llm", "v1"));
  EXPECT_TRUE(upstreams.sent.empty());
  EXPECT_EQ(served.in_flight(), 0u);
}

TEST_F(ResumesTest, AResumptionIsRefusedAtOnceWhenNoUpstreamOfItsVersionTakesWork) {
  List("old0", "v1");
  List("new0", "v2", "draining");
  const request_id id = ResumeAfterFirstEvent("elsewhere");
  served.OnOrigin(StreamKeyOf("elsewhere"), BuildOf("llm", "v2"));
  EXPECT_TRUE(upstreams.sent.empty());
  EXPECT_EQ(CallerOf(id).status, 503);
}

// The load of the next tests: all daemons were killed at once, and callers whose streams broke off
// come back together, before or after upstreams of another version came or went.

TEST_F(ResumesTest, AResumptionThatNamesNoAttemptNeedsASingleVersion) {
  List("old0", "v1");
  Pass(kLongEnough);
  ResumeAfterFirstEvent("");
  ASSERT_EQ(upstreams.sent.size(), 1u);
  EXPECT_EQ(SentTo(), "old0");
  Head(200);
  Bytes(Event(2));
  EXPECT_EQ(origins.known.count(StreamKeyOf("")), 0u);
  List("new0", "v2");
  const request_id second = ResumeAfterFirstEvent("");
  EXPECT_EQ(upstreams.sent.size(), 1u);
  EXPECT_EQ(CallerOf(second).status, 503);
}

TEST_F(ResumesTest, ADaemonThatHasJustStartedKnowsNoSingleVersion) {
  List("new0", "v2");
  ExpectRefused(ResumeAfterFirstEvent(""));
  Pass(kLongEnough);
  ResumeAfterFirstEvent("");
  EXPECT_EQ(upstreams.sent.size(), 1u);
}

TEST_F(ResumesTest, AVersionThatHasJustLeftMayHaveBegunTheStream) {
  List("old0", "v1");
  List("new0", "v2");
  Pass(kLongEnough);
  served.fleet().Remove("old0", clock.Now());
  Pass(seconds(2));
  ExpectRefused(ResumeAfterFirstEvent(""));
  ExpectRefused(ResumeUnremembered());
  Pass(kLongEnough);
  ResumeAfterFirstEvent("");
  EXPECT_EQ(SentTo(), "new0");
}

TEST_F(ResumesTest, AVersionThatCameAndWentBetweenTwoTicksMayHaveBegunTheStream) {
  List("old0", "v1");
  Pass(kLongEnough);
  List("new0", "v2");
  served.fleet().Remove("new0", clock.Now());
  Pass(seconds(2));
  ExpectRefused(ResumeAfterFirstEvent(""));
}

TEST_F(ResumesTest, AVersionThatWasReplacedUnderItsNameMayHaveBegunTheStream) {
  List("one", "v1");
  Pass(kLongEnough);
  upstream_entry entry = served.fleet().FindEntry("one")->entry;
  entry.software_version = "v2";
  served.fleet().Put(entry);
  Pass(seconds(2));
  ExpectRefused(ResumeAfterFirstEvent(""));
}

TEST_F(ResumesTest, AnUnrememberedStreamGoesOnWhenThereWasOneVersionForLong) {
  List("old0", "v1");
  Pass(kLongEnough);
  ResumeUnremembered();
  ASSERT_EQ(upstreams.sent.size(), 1u);
  EXPECT_EQ(SentTo(), "old0");
}

TEST_F(ResumesTest, AServiceThatTheRouteHasJustLeftMayHaveBegunTheStream) {
  List("old0", "v1");
  Add("desk0", "desk");
  Pass(kLongEnough);
  auto config = MakeConfig(2);
  config->routes[2].targets = {{"desk", 1}};
  config->Index();
  served.SetConfig(config);
  Pass(seconds(2));
  ExpectRefused(ResumeAfterFirstEvent(""));
}

TEST_F(ResumesTest, WhileListsOrRoutesAreOldTheSingleVersionIsNotKnown) {
  List("old0", "v1");
  Pass(kLongEnough);
  served.SetFleetCurrent(false);
  ExpectRefused(ResumeAfterFirstEvent(""));
  served.SetFleetCurrent(true);
  served.SetConfigCurrent(false);
  ExpectRefused(ResumeAfterFirstEvent(""));
  served.SetConfigCurrent(true);
  ResumeAfterFirstEvent("");
  EXPECT_EQ(upstreams.sent.size(), 1u);
}

TEST_F(ResumesTest, AListThatIsReadAgainMayHaveMissedAVersion) {
  List("old0", "v1");
  Pass(kLongEnough);
  served.SetFleetKnown();
  ExpectRefused(ResumeAfterFirstEvent(""));
}

/** One version was listed for long, and the store is asked for changes before a stream goes on. */
class CheckedResumesTest : public ResumesTest, public change_check_port {
 protected:
  CheckedResumesTest() {
    served.resumes().SetCheckPort(*this);
    List("old0", "v1");
    Pass(kLongEnough);
  }
  void Check() override { ++checks; }

  int checks = 0;
};

// Guards against joined versions at a daemon that was partitioned or paused while a version came.
TEST_F(CheckedResumesTest, AStreamGoesOnOnlyIfTheStoreTellsOfNoOtherVersion) {
  using listed_builds = stream_resumes::listed_builds;
  for (const std::optional<listed_builds>& changes :
       {std::optional<listed_builds>(),
        std::optional(listed_builds{{"llm", BuildOf("llm", "v2")}})}) {
    const request_id id = ResumeAfterFirstEvent("");
    EXPECT_TRUE(upstreams.sent.empty());
    EXPECT_EQ(served.in_flight(), 1u);
    served.resumes().OnChecked(changes);
    ExpectRefused(id);
  }
  EXPECT_EQ(checks, 2);
}

TEST_F(CheckedResumesTest, RequestsThatCameAfterACheckHadBegunWaitForTheNext) {
  ResumeAfterFirstEvent("");
  ResumeAfterFirstEvent("");
  served.OnCallerGone(ResumeAfterFirstEvent(""));
  served.resumes().OnChecked(stream_resumes::listed_builds{{"llm", BuildOf("llm", "v1")}});
  EXPECT_EQ(upstreams.sent.size(), 1u);
  EXPECT_EQ(checks, 2);
  served.resumes().OnChecked(stream_resumes::listed_builds());
  EXPECT_EQ(upstreams.sent.size(), 2u);
  EXPECT_EQ(checks, 2);
}

TEST_F(ResumesTest, ALongNameOfAnAttemptIsCutInTheLog) {
  List("old0", "v1");
  ResumeAfterFirstEvent(std::string(8000, 'x'));
  ASSERT_EQ(origins.asked.size(), 1u);
  served.OnOrigin(origins.asked[0], std::nullopt);
  EXPECT_LT(log.LastOf("stream_origin").size(), 400u);
}

TEST_F(ResumesTest, AResumptionGoesToTheServiceThatBeganTheStreamWhateverTheWeights) {
  List("old0", "v1");
  auto config = MakeConfig(2);
  config->routes[2].targets = {{"desk", 1000}, {"llm", 0.001}};
  config->Index();
  served.SetConfig(config);
  Add("desk0", "desk");
  origins.known[StreamKeyOf("earlier")] = BuildOf("llm", "v1");
  ResumeAfterFirstEvent("earlier");
  ASSERT_EQ(upstreams.sent.size(), 1u);
  EXPECT_EQ(SentTo(), "old0");
}

TEST_F(ResumesTest, ASilentStreamMovesOnlyToItsOwnVersion) {
  List("new0", "v2");
  Begin();
  ListMany("old", "v1", 5);
  Pass(milliseconds(1500));
  EXPECT_FALSE(upstreams.sent[0].cancelled);
  List("new1", "v2");
  Pass(milliseconds(300));
  ASSERT_EQ(upstreams.sent.size(), 2u);
  EXPECT_EQ(SentTo(), "new1");
}

TEST_F(ResumesTest, AStreamWithoutEventsMayBeginAtAnyVersion) {
  List("new0", "v2");
  AskPrompt("/tell/x", "aa", 100, 50);
  Head(200);
  Bytes("id: 1\nda");
  List("old0", "v1");
  Lost();
  ASSERT_EQ(upstreams.sent.size(), 2u);
  EXPECT_EQ(SentTo(), "old0");
  Head(200);
  Bytes(Event(1));
  EXPECT_EQ(origins.known[StreamKeyOf("q1")], BuildOf("llm", "v1"));
}

}  // namespace
}  // namespace hawthorndrum
