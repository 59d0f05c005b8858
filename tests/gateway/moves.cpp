/// Tests of requests that were moved from a silent upstream: nothing that follows ends their
/// answer.
#include <gtest/gtest.h>

#include "gateway_fixture.h"

namespace hawthorndrum {
namespace {

class MovesTest : public GatewayFixtureTest {
 protected:
  static std::string Event(int id) { return "id: " + std::to_string(id) + "\ndata: t\n\n"; }
  void LeaveRetries(int count) {
    served.SetRetryShare(1.0 / (1 + (count == 0 ? 1000 : 30 / count)));
  }
  request_id Begin() {
    const request_id id = AskPrompt("/tell/x", "aa", 100, 50);
    Head(200);
    Bytes(Event(1));
    return id;
  }
};

TEST_F(MovesTest, AMovedStreamIsNotCutWhenTheOnlyOtherEngineRefuses) {
  Add("d", "llm", engine_stage::kDecode);
  Add("e", "llm", engine_stage::kDecode);
  const request_id id = Begin();
  Pass(milliseconds(1200));
  ASSERT_EQ(upstreams.sent.size(), 2u);
  Refused();
  EXPECT_EQ(CallerOf(id).aborts, 0);
}
TEST_F(MovesTest, AMovedStreamIsNotCutWhenTheOnlyOtherEngineIsUnreachable) {
  Add("d", "llm", engine_stage::kDecode);
  Add("e", "llm", engine_stage::kDecode);
  const request_id id = Begin();
  Pass(milliseconds(1200));
  ASSERT_EQ(upstreams.sent.size(), 2u);
  Lost(attempt_failure::kNotConnected, false);
  EXPECT_EQ(CallerOf(id).aborts, 0);
}
TEST_F(MovesTest, AMovedSafeRequestIsNotFailedWhenTheOnlyOtherUpstreamRefuses) {
  Add("a", "desk");
  Add("b", "desk");
  const request_id id = Ask("/look/x");
  Pass(milliseconds(1200));
  ASSERT_EQ(upstreams.sent.size(), 2u);
  Refused();
  EXPECT_NE(CallerOf(id).status, 502);
}
TEST_F(MovesTest, AMovedSafeRequestIsNotFailedWhenARefusalIsNotAffordable) {
  for (const char* id : {"a", "b", "c"}) Add(id, "desk");
  const request_id id = Ask("/look/x");
  LeaveRetries(1);
  Pass(milliseconds(1200));
  ASSERT_EQ(upstreams.sent.size(), 2u);
  Refused();
  EXPECT_NE(CallerOf(id).status, 502);
}
TEST_F(MovesTest, AMovedSplitStreamIsNotCutByOneRefusal) {
  for (const char* id : {"d", "e", "f"}) Add(id, "llm", engine_stage::kDecode);
  Add("p", "llm", engine_stage::kPrefill);
  const request_id id = AskPrompt("/tell/x", "aa", 9000, 5000);
  ASSERT_EQ(SentHeader("X-Hawthorndrum-Stage"), "prefill");
  PrefillDone();
  Head(200);
  Bytes(Event(1));
  LeaveRetries(2);
  Pass(milliseconds(1500));
  ASSERT_EQ(upstreams.sent.size(), 3u);
  Refused();
  EXPECT_EQ(CallerOf(id).aborts, 0);
}
TEST_F(MovesTest, AnAnswerWhoseBytesArriveIsNotStalled) {
  Add("a", "desk");
  Add("b", "desk");
  Ask("/look/x");
  Head(200);
  for (int i = 0; i < 15; ++i) {
    Pass(milliseconds(100));
    ASSERT_FALSE(upstreams.sent[0].cancelled) << i;
    Bytes("part");
  }
}
TEST_F(MovesTest, AStalledPrefillIsNotMovedForACallerThatHasGone) {
  auto config = MakeConfig(2);
  config->routes.push_back(MakeRoute("/once/", route_kind::kUnsafe, "llm"));
  config->Index();
  served.SetConfig(config);
  for (const char* id : {"d", "e"}) Add(id, "llm", engine_stage::kDecode);
  for (const char* id : {"p", "q"}) Add(id, "llm", engine_stage::kPrefill);
  const request_id id = AskPrompt("/once/x", "aa", 9000, 5000);
  ASSERT_EQ(SentHeader("X-Hawthorndrum-Stage"), "prefill");
  served.OnCallerGone(id);
  Pass(milliseconds(2500));
  EXPECT_EQ(upstreams.sent.size(), 1u);
}
TEST_F(MovesTest, AStreamThatWasRefusedTwiceDoesNotMoveOntoItsLastRefusal) {
  for (const char* id : {"a", "b", "c", "d", "e"}) Add(id, "llm", engine_stage::kDecode);
  const request_id id = AskPrompt("/tell/x", "aa", 100, 50);
  Refused();
  Refused();
  Head(200);
  Bytes(Event(1));
  Pass(milliseconds(1500));
  ASSERT_EQ(upstreams.sent.size(), 4u);
  Refused();
  EXPECT_EQ(CallerOf(id).aborts, 0);
}
TEST_F(MovesTest, ASecondStallOfACallIsLogged) {
  Add("d", "llm", engine_stage::kDecode);
  Begin();
  Pass(milliseconds(1100));
  EXPECT_NE(log.LastOf("call_stalled"), "");
  const std::string first(log.LastOf("call_stalled"));
  Bytes(Event(2));
  Pass(milliseconds(1100));
  EXPECT_NE(log.LastOf("call_stalled"), first);
}

TEST_F(MovesTest, AStreamMovedByWayOfAPrefillIsNotCutWhenNoDecodeEngineIsLeft) {
  Add("d", "llm", engine_stage::kDecode);
  const upstream_id e = Add("e", "llm", engine_stage::kDecode);
  Add("p", "llm", engine_stage::kPrefill);
  Add("q", "llm", engine_stage::kPrefill);
  const request_id id = AskPrompt("/tell/x", "aa", 9000, 5000);
  PrefillDone();
  Head(200);
  Bytes(Event(1));
  Pass(milliseconds(1500));
  ASSERT_EQ(upstreams.sent.size(), 3u);
  ASSERT_EQ(SentHeader("X-Hawthorndrum-Stage"), "prefill");
  served.fleet().Find(e)->refuses_until = clock.Now() + milliseconds(500);
  PrefillDone();
  EXPECT_EQ(CallerOf(id).aborts, 0);
}
TEST_F(MovesTest, TheSpareRetryOfAMovedStreamIsNotSpentByAnother) {
  for (const char* id : {"d", "e", "f", "g"}) Add(id, "llm", engine_stage::kDecode);
  const request_id id = Begin();
  LeaveRetries(2);
  Pass(milliseconds(1100));
  ASSERT_EQ(upstreams.sent.size(), 2u);
  const attempt_id moved = last().call.attempt;
  AskPrompt("/tell/y", "bb", 100, 50);
  Lost();
  served.OnAttemptHead({moved, 503, {{"X-Hawthorndrum-Not-Executed", "1"}}});
  served.OnAttemptFinished({moved});
  EXPECT_EQ(CallerOf(id).aborts, 0);
}

TEST_F(MovesTest, AStreamThatWaitsGoesOnWhereItBeganOnceItsEngineAnswersAgain) {
  Add("d", "llm", engine_stage::kDecode);
  Add("e", "llm", engine_stage::kDecode);
  const request_id id = Begin();
  const std::string first(SentHeader("X-Hawthorndrum-Expect-Instance"));
  Pass(milliseconds(1200));
  served.fleet().Find(last().call.upstream)->refuses_until = clock.Now() + seconds(2);
  Refused();
  ASSERT_EQ(upstreams.sent.size(), 2u);
  Pass(milliseconds(300));
  ASSERT_EQ(upstreams.sent.size(), 3u);
  EXPECT_EQ(SentHeader("X-Hawthorndrum-Expect-Instance"), first);
  EXPECT_EQ(SentHeader("Last-Event-Id"), "1");
  Head(200);
  Bytes(Event(2));
  Done();
  EXPECT_EQ(CallerOf(id).body, Event(1) + Event(2));
  EXPECT_EQ(CallerOf(id).ends, 1);
}

TEST_F(MovesTest, AStreamThatWaitsEndsWithItsDeadlineOrItsCaller) {
  Add("d", "llm", engine_stage::kDecode);
  Add("e", "llm", engine_stage::kDecode);
  const request_id gone = Begin();
  const request_id expires = AskPrompt("/tell/y", "bb", 100, 50);
  Head(200);
  Bytes(Event(1));
  Pass(milliseconds(1200));
  for (const auto& each : std::vector(upstreams.sent.begin() + 2, upstreams.sent.end())) {
    served.OnAttemptHead({each.call.attempt, 503, {{"X-Hawthorndrum-Not-Executed", "1"}}});
    served.OnAttemptFinished({each.call.attempt});
  }
  const std::size_t sent = upstreams.sent.size();
  for (const char* name : {"d", "e"})
    served.fleet().FindEntry(name)->refuses_until = clock.Now() + seconds(10);
  served.OnCallerGone(gone);
  EXPECT_EQ(CallerOf(gone).aborts, 0);
  EXPECT_EQ(served.in_flight(), 1u);
  Pass(seconds(2));
  EXPECT_EQ(upstreams.sent.size(), sent);
  EXPECT_EQ(CallerOf(expires).aborts, 1);
  EXPECT_EQ(served.in_flight(), 0u);
}

}  // namespace
}  // namespace hawthorndrum
