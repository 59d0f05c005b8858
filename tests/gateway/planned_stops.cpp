/// Tests of a planned stop: which requests are still taken, and how those in flight end.
#include <gtest/gtest.h>

#include "gateway/stop_admission.h"
#include "gateway_fixture.h"
#include "relay/relay_headers.h"

namespace hawthorndrum {
namespace {

class PlannedStopsTest : public GatewayFixtureTest {
 protected:
  PlannedStopsTest() {
    Add("p", "desk");
    Add("d", "llm", engine_stage::kDecode);
  }
  /** Serves a request of each route, which takes that long. */
  void LearnTimes(duration look, duration tell) {
    Ask("/look/x");
    Pass(look);
    Answered("body");
    Ask("/pay/x");
    Pass(look);
    Answered("body");
    AskPrompt("/tell/x", "aa", 100, 50);
    Head(200);
    Bytes("id: 1\ndata: t\n\n");
    Pass(tell);
    Done();
  }
  void ExpectRefusedUnsent(request_id id, std::size_t sent_before) {
    EXPECT_EQ(CallerOf(id).status, 503);
    EXPECT_NE(CallerOf(id).body.find("\"outcome\":\"not_run\""), std::string::npos);
    EXPECT_LE(std::stod(std::string(FindHeader(CallerOf(id).headers, "Retry-After"))), 0.1);
    EXPECT_EQ(upstreams.sent.size(), sent_before);
  }
};

// Guards against requests that are taken late in the grace and cut at its end without an answer.
TEST_F(PlannedStopsTest, RequestsThatCannotEndInTimeAreRefusedAtOnce) {
  LearnTimes(milliseconds(100), milliseconds(800));
  served.BeginStop(clock.Now() + milliseconds(2900));
  for (const char* path : {"/look/x", "/pay/x"}) {
    Ask(path);
    Answered("body");
  }
  const request_id early = AskPrompt("/tell/x", "aa", 100, 50);
  Answered("id: 1\ndata: t\n\n");
  EXPECT_EQ(CallerOf(early).ends, 1);
  Pass(milliseconds(2000));
  std::size_t sent = upstreams.sent.size();
  ExpectRefusedUnsent(AskPrompt("/tell/x", "aa", 100, 50), sent);
  const request_id late = Ask("/pay/x");
  ASSERT_EQ(upstreams.sent.size(), sent + 1) << "short requests still end in time";
  Answered("body");
  EXPECT_EQ(CallerOf(late).status, 200);
  Pass(milliseconds(850));
  sent = upstreams.sent.size();
  for (const char* path : {"/look/x", "/pay/x"}) ExpectRefusedUnsent(Ask(path), sent);
}

TEST_F(PlannedStopsTest, WithoutAKnownTimeTheTimeLimitCounts) {
  served.BeginStop(clock.Now() + milliseconds(3100));
  const request_id taken = Ask("/pay/x");
  Answered("body");
  EXPECT_EQ(CallerOf(taken).status, 200);
  const std::size_t sent = upstreams.sent.size();
  Pass(milliseconds(200));
  ExpectRefusedUnsent(AskPrompt("/tell/x", "aa", 100, 50), sent);
  const request_id known = Ask("/pay/x");
  EXPECT_EQ(CallerOf(known).answers, 0) << "the route has answered before";
}

TEST_F(PlannedStopsTest, RequestsOfOtherDaemonsAreLeftToOthers) {
  served.BeginStop(clock.Now() + milliseconds(100));
  http_request request;
  request.method = "POST";
  request.target = "/pay/x";
  request.headers = {{"Host", "shop.example"}, {"X-Hawthorndrum-Request-Id", "r"}};
  relay_terms terms;
  terms.host = "g2";
  terms.time_left = seconds(3);
  SetRelayTerms(terms, request.headers);
  served.OnPassedOn(request_id(900), std::move(request));
  std::vector<http_header> headers = CallerOf(request_id(900)).headers;
  EXPECT_EQ(TakeRelayAnswer(headers).outcome, relay_outcome::kUnavailable);
  EXPECT_TRUE(upstreams.sent.empty());
}

// Guards against connections that are closed without an answer when the grace is over.
TEST_F(PlannedStopsTest, EveryRequestInFlightIsAnswered) {
  Add("e", "llm", engine_stage::kPrefill);
  const request_id pay = Ask("/pay/x");
  const request_id look = Ask("/look/x");
  const request_id prefilling = AskPrompt("/note/x", "aa", 9000, 5000);
  ASSERT_EQ(SentHeader("X-Hawthorndrum-Stage"), "prefill");
  const request_id begun = AskPrompt("/tell/x", "bb", 100, 50);
  Head(200);
  Bytes("id: 1\ndata: t\n\n");
  const request_id unknown =
      AskPrompt("/tell/x", "cc", 100, 50);  // No byte of its answer has arrived.
  const request_id resumed = Ask("/tell/x", {{"Resumes", "q0"}, {"Last-Event-Id", "3"}});
  ASSERT_EQ(CallerOf(resumed).answers, 0);
  served.BeginStop(clock.Now());
  served.EndAll();
  EXPECT_EQ(served.in_flight(), 0u);
  for (const request_id id : {pay, look, unknown}) EXPECT_EQ(CallerOf(id).status, 502);
  for (const request_id id : {prefilling, resumed}) EXPECT_EQ(CallerOf(id).status, 503);
  EXPECT_EQ(CallerOf(begun).aborts, 1);
  for (const request_id id : {pay, look, prefilling, begun, unknown, resumed})
    EXPECT_TRUE(CallerOf(id).HasEnded());
  for (const auto& sent : upstreams.sent) EXPECT_TRUE(sent.cancelled);
}

TEST(StopAdmission, TheLongestAnswerOfLateDecides) {
  stop_admission admission;
  admission.Record("a", seconds(2));
  admission.Record("a", milliseconds(100));
  EXPECT_TRUE(admission.MayTake("a", seconds(8), time_point()));
  EXPECT_FALSE(admission.is_stopping());
  admission.BeginStop(time_point(seconds(10)));
  EXPECT_TRUE(admission.MayTake("a", seconds(8), time_point(seconds(6))));
  EXPECT_FALSE(admission.MayTake("a", seconds(8), time_point(seconds(8))));
  EXPECT_TRUE(admission.MayTake("a", seconds(1), time_point(seconds(8)))) << "its limit is near";
  for (int i = 0; i < 500; ++i) admission.Record("a", milliseconds(100));
  EXPECT_TRUE(admission.MayTake("a", seconds(8), time_point(seconds(8))));
  EXPECT_FALSE(admission.MayTake("other", seconds(8), time_point(seconds(3))));
}

}  // namespace
}  // namespace hawthorndrum
