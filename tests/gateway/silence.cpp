/// Tests of upstreams that fall silent and go on: their silence ends no answer.
#include <gtest/gtest.h>

#include "gateway_fixture.h"

namespace hawthorndrum {
namespace {

class SilenceTest : public GatewayFixtureTest {
 protected:
  static std::string Event(int id) { return "id: " + std::to_string(id) + "\ndata: t\n\n"; }
  /** Makes the daemon's share of the retry budget that many retries and a part of one. */
  void LeaveRetries(int count) {
    served.SetRetryShare(1.0 / (1 + (count == 0 ? 1000 : 30 / count)));
  }
};

TEST_F(SilenceTest, AStreamIsNotCutWhenItsEngineFallsSilentAndNoRetryIsLeft) {
  Add("d", "llm", engine_stage::kDecode);
  Add("e", "llm", engine_stage::kDecode);
  const request_id id = AskPrompt("/tell/x", "aa", 100, 50);
  Head(200);
  Bytes(Event(1));
  LeaveRetries(0);
  Pass(milliseconds(1500));
  EXPECT_EQ(CallerOf(id).aborts, 0);
  EXPECT_FALSE(upstreams.sent[0].cancelled);
  Bytes(Event(2));
  Done();
  EXPECT_EQ(CallerOf(id).body, Event(1) + Event(2));
  EXPECT_EQ(CallerOf(id).ends, 1);
}

TEST_F(SilenceTest, AStreamMovesOnlyIfItsNextEngineMayRefuseItOnce) {
  for (const char* id : {"d", "e", "f"}) Add(id, "llm", engine_stage::kDecode);
  const request_id id = AskPrompt("/tell/x", "aa", 100, 50);
  Head(200);
  Bytes(Event(1));
  LeaveRetries(1);
  Pass(milliseconds(1500));
  EXPECT_FALSE(upstreams.sent[0].cancelled);
  LeaveRetries(2);
  Pass(milliseconds(300));
  EXPECT_TRUE(upstreams.sent[0].cancelled);
  ASSERT_EQ(upstreams.sent.size(), 2u);
  Refused();
  ASSERT_EQ(upstreams.sent.size(), 3u);
  EXPECT_EQ(SentHeader("Last-Event-Id"), "1");
  Head(200);
  Bytes(Event(2));
  Done();
  EXPECT_EQ(CallerOf(id).body, Event(1) + Event(2));
  EXPECT_EQ(CallerOf(id).ends, 1);
}

TEST_F(SilenceTest, ASafeRequestIsNotFailedWhenItsUpstreamFallsSilentAndNoRetryIsLeft) {
  Add("a", "desk");
  Add("b", "desk");
  const request_id id = Ask("/look/x");
  LeaveRetries(0);
  Pass(milliseconds(1500));
  EXPECT_EQ(CallerOf(id).answers, 0);
  Answered("found");
  EXPECT_EQ(CallerOf(id).status, 200);
  EXPECT_EQ(CallerOf(id).body, "found");
}

TEST_F(SilenceTest, APrefillGoesOnWhenItsEngineFallsSilentAndNoOtherCanTakeThePrompt) {
  const upstream_id decode_engine = Add("d", "llm", engine_stage::kDecode);
  Add("p", "llm", engine_stage::kPrefill);
  const request_id id = AskPrompt("/note/x", "aa", 9000, 5000);
  ASSERT_EQ(SentHeader("X-Hawthorndrum-Stage"), "prefill");
  LeaveRetries(0);
  served.fleet().Find(decode_engine)->refuses_until = clock.Now() + milliseconds(2500);
  Pass(milliseconds(2000));
  EXPECT_EQ(CallerOf(id).answers, 0);
  EXPECT_FALSE(upstreams.sent[0].cancelled);
}

TEST_F(SilenceTest, AnAnswerInTheLastMomentsBeforeTheTimeoutIsDelivered) {
  Add("a", "desk");
  const request_id plain = Ask("/pay/x");
  Pass(milliseconds(2995));
  EXPECT_EQ(CallerOf(plain).answers, 0);
  Answered("paid");
  EXPECT_EQ(CallerOf(plain).status, 200);
  Add("d", "llm", engine_stage::kDecode);
  const request_id stream = AskPrompt("/note/x", "aa", 100, 50);
  Head(200);
  Bytes(Event(1));
  Pass(milliseconds(2995));
  EXPECT_EQ(CallerOf(stream).aborts, 0);
  Bytes(Event(2));
  Done();
  EXPECT_EQ(CallerOf(stream).ends, 1);
}

TEST_F(SilenceTest, ADelayOfThisDaemonIsNoSilenceOfItsUpstreams) {
  Add("d", "llm", engine_stage::kDecode);
  Add("e", "llm", engine_stage::kDecode);
  AskPrompt("/tell/x", "aa", 100, 50);
  Head(200);
  Bytes(Event(1));
  Pass(milliseconds(100));
  Delay(milliseconds(1500));
  EXPECT_FALSE(upstreams.sent[0].cancelled);
}

TEST_F(SilenceTest, ADelayOfThisDaemonIsLogged) {
  Pass(milliseconds(100));
  EXPECT_EQ(log.LastOf("loop_delayed"), "");
  Delay(milliseconds(1500));
  EXPECT_EQ(log.LastOf("loop_delayed"),
            R"({"event":"loop_delayed","after_ms":1500,"in_flight":0})");
}

// The load: streams that last for seconds, of which some bring bytes now and then and never an
// event.
TEST_F(SilenceTest, AStreamWhoseEngineSendsBytesButNoEventsMoves) {
  Add("d", "llm", engine_stage::kDecode);
  const request_id id = AskPrompt("/tell/x", "aa", 100, 50);
  Head(200);
  Bytes(Event(1));
  Add("e", "llm", engine_stage::kDecode);
  for (int i = 0; i < 25 && upstreams.sent.size() == 1; ++i) {
    Bytes("d");
    Pass(milliseconds(100));
  }
  ASSERT_EQ(upstreams.sent.size(), 2u);
  EXPECT_EQ(SentHeader("Last-Event-Id"), "1");
  Head(200);
  Bytes(Event(2));
  Done();
  EXPECT_EQ(CallerOf(id).body, Event(1) + Event(2));
}

TEST_F(SilenceTest, ASlowStreamThatBringsEventsStays) {
  Add("d", "llm", engine_stage::kDecode);
  Add("e", "llm", engine_stage::kDecode);
  const request_id id = AskPrompt("/tell/x", "aa", 100, 50);
  Head(200);
  std::string sent;
  for (int i = 1; i <= 3; ++i) {
    Bytes(Event(i));
    sent += Event(i);
    Pass(milliseconds(900));
  }
  Done();
  EXPECT_EQ(upstreams.sent.size(), 1u);
  EXPECT_EQ(CallerOf(id).body, sent);
}

// The load: first tries at an upstream that takes this host's connections and answers other hosts.
class DeafUpstreamTest : public SilenceTest {
 protected:
  /** Other daemons report all the time that the first upstream answers them. */
  void PassWithReports(duration time) {
    for (duration left = time; left > duration(0); left -= milliseconds(100)) {
      fleet_upstream* row = served.fleet().Find(upstreams.sent[0].call.upstream);
      row->last_active_at = row->peers_heard_at = clock.Now();
      Pass(milliseconds(100));
    }
  }
};

TEST_F(DeafUpstreamTest, ASafeRequestDoesNotWaitThereForItsEnd) {
  Add("a", "desk");
  Add("b", "desk");
  const request_id id = Ask("/look/x");
  PassWithReports(milliseconds(1500));
  ASSERT_EQ(upstreams.sent.size(), 2u);
  Answered("found");
  EXPECT_EQ(CallerOf(id).body, "found");
}

TEST_F(DeafUpstreamTest, ARequestThatMayRunOnceIsNotSentAgain) {
  Add("a", "desk");
  Add("b", "desk");
  Ask("/pay/x");
  PassWithReports(milliseconds(2500));
  EXPECT_EQ(upstreams.sent.size(), 1u);
}

TEST_F(DeafUpstreamTest, ARequestStaysWhereOtherRequestsOfThisHostAreAnswered) {
  Add("a", "desk");
  const request_id first = Ask("/look/x");
  Ask("/look/y");
  Pass(milliseconds(50));
  Answered("found");
  Add("b", "desk");
  PassWithReports(milliseconds(1500));
  EXPECT_EQ(CallerOf(first).answers, 0);
  EXPECT_EQ(upstreams.sent.size(), 2u);
}

}  // namespace
}  // namespace hawthorndrum
