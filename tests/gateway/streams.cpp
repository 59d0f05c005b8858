/// Tests of streams: relaying, resuming, and prefill at another engine.
#include <gtest/gtest.h>

#include "gateway_fixture.h"

namespace hawthorndrum {
namespace {

class StreamsTest : public GatewayFixtureTest {
 protected:
  static std::string Event(int id) { return "id: " + std::to_string(id) + "\ndata: t\n\n"; }
};

TEST_F(StreamsTest, EventsAreForwardedAsTheyArrive) {
  Add("d", "llm", engine_stage::kDecode);
  const request_id id = AskPrompt("/tell/x", "aa", 100, 50);
  Head(200);
  Bytes(Event(1));
  EXPECT_EQ(CallerOf(id).body, Event(1));
  Bytes(Event(2));
  Done();
  EXPECT_EQ(CallerOf(id).body, Event(1) + Event(2));
  EXPECT_EQ(CallerOf(id).ends, 1);
}

TEST_F(StreamsTest, GoesOnElsewhereAfterTheLastWholeEvent) {
  Add("d", "llm", engine_stage::kDecode);
  Add("e", "llm", engine_stage::kDecode);
  const request_id id = AskPrompt("/tell/x", "aa", 100, 50);
  Head(200);
  Bytes(Event(1) + Event(2) + "id: 3\nda");
  Lost();
  ASSERT_EQ(upstreams.sent.size(), 2u);
  EXPECT_EQ(SentHeader("Last-Event-Id"), "2");
  Head(200);
  Bytes(Event(3));
  Done();
  EXPECT_EQ(CallerOf(id).body, Event(1) + Event(2) + Event(3));
  EXPECT_EQ(CallerOf(id).begins, 1);
  EXPECT_EQ(CallerOf(id).ends, 1);
}

TEST_F(StreamsTest, AStreamThatMayNotBeResumedIsCutAndNotSentAgain) {
  Add("d", "llm", engine_stage::kDecode);
  Add("e", "llm", engine_stage::kDecode);
  const request_id id = AskPrompt("/note/x", "aa", 100, 50);
  Head(200);
  Bytes(Event(1));
  Lost();
  EXPECT_EQ(upstreams.sent.size(), 1u);
  EXPECT_EQ(CallerOf(id).aborts, 1);
  EXPECT_EQ(CallerOf(id).ends, 0);
}

TEST_F(StreamsTest, AnEndInsideAnEventIsNoEnd) {
  Add("d", "llm", engine_stage::kDecode);
  const request_id id = AskPrompt("/note/x", "aa", 100, 50);
  Head(200);
  Bytes(Event(1) + "id: 2\n");
  Done();
  EXPECT_EQ(CallerOf(id).aborts, 1);
  EXPECT_EQ(CallerOf(id).ends, 0);
}

// Guards against a refusal written into a stream's chunked body, which callers cannot parse. It
// came about when no upstream was left to resume a stream that had begun.
TEST_F(StreamsTest, NoPlaceToResumeClosesTheConnection) {
  Add("d", "llm", engine_stage::kDecode);
  const request_id id = AskPrompt("/tell/x", "aa", 100, 50);
  Head(200);
  Bytes(Event(1));
  Lost();
  EXPECT_EQ(CallerOf(id).answers, 0);
  EXPECT_EQ(CallerOf(id).aborts, 1);
}

TEST_F(StreamsTest, APrefillFailureDuringResumptionClosesTheConnection) {
  Add("d", "llm", engine_stage::kDecode);
  const upstream_id prefill_engine = Add("p", "llm", engine_stage::kPrefill);
  const request_id id = AskPrompt("/tell/x", "aa", 9000, 5000);
  PrefillDone();
  Head(200);
  Bytes(Event(1));
  served.fleet().Remove("d", clock.Now());
  Lost();
  EXPECT_EQ(CallerOf(id).answers, 0);
  EXPECT_EQ(CallerOf(id).aborts, 1);
  EXPECT_EQ(served.fleet().Find(prefill_engine)->own.running, 0u);
}

TEST_F(StreamsTest, NotRunIsNeverAnsweredForAStreamThatMayHaveRun) {
  Add("d", "llm", engine_stage::kDecode);
  Add("e", "llm", engine_stage::kDecode);
  Add("p", "llm", engine_stage::kPrefill);
  Add("q", "llm", engine_stage::kPrefill);
  const request_id id = AskPrompt("/tell/x", "aa", 9000, 5000);
  PrefillDone();
  Lost();
  ASSERT_EQ(SentHeader("X-Hawthorndrum-Stage"), "prefill") << "retried with a new prefill";
  for (const char* each : {"d", "e", "p", "q"}) served.fleet().Remove(each, clock.Now());
  Lost();
  EXPECT_EQ(CallerOf(id).status, 502);
}

TEST_F(StreamsTest, LongPromptsArePrefilledAndDecodedAtDifferentEngines) {
  Add("d", "llm", engine_stage::kDecode);
  Add("p", "llm", engine_stage::kPrefill);
  AskPrompt("/tell/x", "aa", 9000, 5000);
  EXPECT_EQ(SentHeader("X-Hawthorndrum-Stage"), "prefill");
  EXPECT_EQ(SentHeader("X-Hawthorndrum-Expect-Instance"), "p");
  const std::string prefill_engine = last().call.address;
  PrefillDone();
  ASSERT_EQ(upstreams.sent.size(), 2u);
  EXPECT_EQ(SentHeader("X-Hawthorndrum-Stage"), "");
  EXPECT_EQ(SentHeader("X-Hawthorndrum-Kv-Source"), prefill_engine + "/h1");
  EXPECT_EQ(SentHeader("X-Hawthorndrum-Expect-Instance"), "d");
}

// Guards against exceeding the retry budget: each refusal of a run made the prompt be prefilled
// again.
TEST_F(StreamsTest, APrefilledPromptIsKeptWhenTheFirstDecodeEngineRefuses) {
  Add("d", "llm", engine_stage::kDecode);
  Add("e", "llm", engine_stage::kDecode);
  Add("p", "llm", engine_stage::kPrefill);
  AskPrompt("/note/x", "aa", 9000, 5000);
  PrefillDone();
  const std::string source(SentHeader("X-Hawthorndrum-Kv-Source"));
  const std::string first(SentHeader("X-Hawthorndrum-Expect-Instance"));
  Refused();
  ASSERT_EQ(upstreams.sent.size(), 3u);
  EXPECT_EQ(SentHeader("X-Hawthorndrum-Kv-Source"), source);
  EXPECT_NE(SentHeader("X-Hawthorndrum-Expect-Instance"), first);
}

// Guards against retries after the retry budget is used up: a prefilled prompt was prefilled again
// because the decode engines could not be reached.
TEST_F(StreamsTest, APrefilledPromptIsKeptWhileDecodeEnginesAreUnreachable) {
  for (const char* id : {"d", "e", "f", "g"}) Add(id, "llm", engine_stage::kDecode);
  Add("p", "llm", engine_stage::kPrefill);
  AskPrompt("/note/x", "aa", 9000, 5000);
  PrefillDone();
  for (int i = 0; i < 3; ++i) Lost(attempt_failure::kNotConnected, false);
  EXPECT_EQ(SentHeader("X-Hawthorndrum-Stage"), "");
  EXPECT_NE(SentHeader("X-Hawthorndrum-Kv-Source"), "");
}

TEST_F(StreamsTest, ASecondReadingNeedsARetry) {
  gateway_ports ports_without_retries = Ports();
  ports_without_retries.retries = {0, 0, seconds(10)};
  gateway gateway_without_retries(ports_without_retries);
  gateway_without_retries.SetConfig(MakeConfig(1));
  gateway_without_retries.SetFleetKnown();
  for (const auto& [id, stage] :
       {std::pair{"p", engine_stage::kPrefill}, std::pair{"q", engine_stage::kPrefill},
        std::pair{"d", engine_stage::kDecode}}) {
    upstream_entry entry;
    entry.id = id;
    entry.service = "llm";
    entry.stage = stage;
    entry.slots = 64;
    gateway_without_retries.fleet().Put(entry);
  }
  http_request request;
  request.target = "/note/x";
  request.headers = {{"Host", "shop.example"},
                     {"X-Hawthorndrum-Token-Count", "9000,10"},
                     {"X-Hawthorndrum-Prompt-Prefix", "aa:4000,bb:5000"}};
  gateway_without_retries.OnRequest(request_id(900), std::move(request));
  EXPECT_EQ(SentHeader("X-Hawthorndrum-Stage"), "prefill");
  gateway_without_retries.OnAttemptLost(
      {last().call.attempt, attempt_failure::kConnectionLost, true});
  EXPECT_EQ(SentHeader("X-Hawthorndrum-Stage"), "") << "prefilled where it runs, as the first run";
}

TEST_F(StreamsTest, APrefilledPromptThatNoEngineTakesIsDropped) {
  Add("d", "llm", engine_stage::kDecode);
  Add("p", "llm", engine_stage::kPrefill);
  const request_id id = AskPrompt("/note/x", "aa", 9000, 5000);
  PrefillDone();
  Refused();
  EXPECT_EQ(CallerOf(id).status, 503);
  ASSERT_EQ(upstreams.notified.size(), 1u);
  EXPECT_EQ(upstreams.notified[0].second.method, "DELETE");
}

TEST_F(StreamsTest, AFailedPrefillEngineIsReplacedByAnother) {
  Add("d", "llm", engine_stage::kDecode);
  Add("p", "llm", engine_stage::kPrefill);
  Add("q", "llm", engine_stage::kPrefill);
  AskPrompt("/note/x", "aa", 9000, 5000);
  const std::string first(SentHeader("X-Hawthorndrum-Expect-Instance"));
  Lost();
  ASSERT_EQ(upstreams.sent.size(), 2u);
  EXPECT_EQ(SentHeader("X-Hawthorndrum-Stage"), "prefill");
  EXPECT_NE(SentHeader("X-Hawthorndrum-Expect-Instance"), first);
}

TEST_F(StreamsTest, ASilentEngineIsAbandonedOnlyWhenNoDaemonReceivesFromIt) {
  Add("d", "llm", engine_stage::kDecode);
  Add("e", "llm", engine_stage::kDecode);
  AskPrompt("/tell/x", "aa", 100, 50);
  const upstream_id first = last().call.upstream;
  load_notice notice;
  notice.sender = incarnation_id(8);
  for (int i = 1; i <= 10; ++i) {
    notice.sequence = i;
    notice.work = {{first, {}, milliseconds(10)}};
    served.OnNotice(notice);
    Pass(milliseconds(100));
  }
  EXPECT_EQ(upstreams.sent.size(), 1u) << "another daemon receives bytes from it";
  for (int i = 0; i < 10; ++i) Pass(milliseconds(100));
  EXPECT_EQ(upstreams.sent.size(), 2u);
  EXPECT_TRUE(upstreams.sent[0].cancelled);
}

TEST_F(StreamsTest, PromptsOfOneGroupGoToTheirAffinityEngine) {
  Add("d", "llm", engine_stage::kDecode);
  for (const char* id : {"p", "q", "r", "s"}) Add(id, "llm", engine_stage::kPrefill);
  AskPrompt("/note/x", "aa", 9000, 1000);
  const std::string affinity_engine(SentHeader("X-Hawthorndrum-Expect-Instance"));
  PrefillDone();
  Head(200);
  for (int i = 0; i < 5; ++i) {
    AskPrompt("/note/x", "aa", 9000, 1000);
    EXPECT_EQ(SentHeader("X-Hawthorndrum-Expect-Instance"), affinity_engine);
    PrefillDone();
    Head(200);
  }
}

}  // namespace
}  // namespace hawthorndrum
