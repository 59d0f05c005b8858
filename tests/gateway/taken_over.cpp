/// Tests of requests that another daemon, which reaches no upstream, passes on to this one.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "gateway_fixture.h"
#include "relay/relay_headers.h"

namespace hawthorndrum {
namespace {

class TakenOverTest : public GatewayFixtureTest {
 protected:
  TakenOverTest() {
    terms.host = "g2";
    terms.time_left = milliseconds(700);
    served.SetDaemons({{"g2", "10.9.0.2:7600", "south"}, {"g3", "10.9.0.3:7600", "south"}});
  }
  request_id PassOn(const std::string& path, std::vector<http_header> more = {}) {
    http_request request;
    request.method = "POST";
    request.target = path;
    request.headers = {{"Host", "shop.example"},
                       {"X-Hawthorndrum-Request-Id", "q" + std::to_string(++last_request)},
                       {"X-Hawthorndrum-Deadline-Ms", "3000"}};
    for (http_header& header : more) request.headers.push_back(std::move(header));
    SetRelayTerms(terms, request.headers);
    const request_id id(last_request);
    served.OnPassedOn(id, std::move(request));
    return id;
  }
  relay_answer SaidTo(request_id id) { return TakeRelayAnswer(callers.records[id].headers); }

  relay_terms terms;
};

TEST_F(TakenOverTest, ItsUpstreamGetsTheTimeThatIsLeftAndNoHeaderBetweenDaemons) {
  Add("p", "desk");
  PassOn("/pay/x");
  ASSERT_EQ(upstreams.sent.size(), 1u);
  EXPECT_EQ(SentHeader("X-Hawthorndrum-Deadline-Ms"), "700");
  for (const http_header& header : last().call.request.headers)
    EXPECT_EQ(header.name.find("Relay"), std::string::npos) << header.name;
}

TEST_F(TakenOverTest, ItsAnswerNamesTheUpstream) {
  const upstream_id desk = Add("p", "desk");
  const request_id id = PassOn("/pay/x");
  Answered("paid");
  EXPECT_EQ(CallerOf(id).body, "paid");
  const relay_answer said = SaidTo(id);
  EXPECT_EQ(said.outcome, relay_outcome::kAnswered);
  EXPECT_EQ(said.upstream, desk);
}

TEST_F(TakenOverTest, AHeaderOfAnUpstreamCannotPassForTheOutcome) {
  Add("p", "desk");
  const request_id id = PassOn("/pay/x");
  served.OnAttemptHead(
      {last().call.attempt,
       200,
       {{"X-Hawthorndrum-Response-Seal", "seal"}, {"Hawthorndrum-Relay-Outcome", "refused"}}});
  Done();
  EXPECT_EQ(SaidTo(id).outcome, relay_outcome::kAnswered);
}

TEST_F(TakenOverTest, ItIsNeverPassedOnAgain) {
  const request_id id = PassOn("/look/x");
  EXPECT_TRUE(upstreams.sent.empty());
  EXPECT_EQ(CallerOf(id).status, 503);
  EXPECT_EQ(SaidTo(id).outcome, relay_outcome::kDeclined);
  Add("p", "desk");
  const request_id second = PassOn("/look/x");
  Lost(attempt_failure::kNotConnected, false);
  EXPECT_EQ(upstreams.sent.size(), 1u);
  EXPECT_EQ(SaidTo(second).outcome, relay_outcome::kDeclined);
}

TEST_F(TakenOverTest, WhatMayHaveRunIsUnknown) {
  Add("p", "desk");
  const request_id id = PassOn("/pay/x");
  Lost();
  EXPECT_EQ(CallerOf(id).status, 502);
  EXPECT_EQ(SaidTo(id).outcome, relay_outcome::kUnknown);
  terms.runs = 1;
  const request_id again = PassOn("/look/x");
  served.OnAttemptHead({last().call.attempt, 503, {{"X-Hawthorndrum-Not-Executed", "1"}}});
  Done();
  EXPECT_EQ(SaidTo(again).outcome, relay_outcome::kUnknown);
}

TEST_F(TakenOverTest, AnUnknownRouteIsDeclinedSinceTheOtherConfigurationMayBeNewer) {
  const request_id id = PassOn("/new/x");
  EXPECT_EQ(CallerOf(id).status, 404);
  EXPECT_EQ(SaidTo(id).outcome, relay_outcome::kDeclined);
}

TEST_F(TakenOverTest, MalformedTermsAreDeclinedAndNothingIsSent) {
  Add("p", "desk");
  http_request request;
  request.method = "POST";
  request.target = "/pay/x";
  request.headers = {{"Host", "shop.example"}, {"Hawthorndrum-Relay-Host", "g2"}};
  served.OnPassedOn(request_id(99), std::move(request));
  EXPECT_TRUE(upstreams.sent.empty());
  EXPECT_EQ(SaidTo(request_id(99)).outcome, relay_outcome::kDeclined);
}

TEST_F(TakenOverTest, CallsMadeElsewhereCountAsAttempts) {
  Add("p", "desk");
  Add("q", "desk");
  terms.runs = 1;
  const request_id id = PassOn("/look/x");
  Head(500);
  Done();
  EXPECT_EQ(upstreams.sent.size(), 1u);
  EXPECT_EQ(CallerOf(id).status, 500);
}

TEST_F(TakenOverTest, RetriesAreEarnedAtOneDaemonOnly) {
  served.SetRetryShare(0);
  Add("p", "desk");
  Add("q", "desk");
  const auto fails = [&] {
    PassOn("/look/x");
    const std::size_t sent = upstreams.sent.size();
    Head(500);
    Done();
    const bool retried = upstreams.sent.size() > sent;
    if (retried) Answered("body");
    return retried;
  };
  terms.earned = true;
  int retried = 0;
  for (int i = 0; i < 100; ++i) retried += fails() ? 1 : 0;
  EXPECT_EQ(retried, 0);
  terms.earned = false;
  for (int i = 0; i < 100; ++i) retried += fails() ? 1 : 0;
  EXPECT_GT(retried, 2);
}

// Guards against a request that earns retries at each of the daemons that decline it.
TEST_F(TakenOverTest, ADeclinedRequestEarnsNoRetries) {
  served.SetRetryShare(0);
  for (int i = 0; i < 100; ++i)
    EXPECT_EQ(SaidTo(PassOn("/look/x")).outcome, relay_outcome::kDeclined);
  Add("p", "desk");
  Add("q", "desk");
  terms.earned = true;
  PassOn("/look/x");
  Head(500);
  Done();
  EXPECT_EQ(upstreams.sent.size(), 1u);
}

TEST_F(TakenOverTest, AStreamGoesOnAtItsBuildAfterTheLastEvent) {
  const upstream_id engine = Add("d", "llm", engine_stage::kDecode);
  terms.build = served.fleet().Find(engine)->build;
  terms.last_event_id = "4";
  PassOn("/tell/x");
  EXPECT_EQ(SentHeader("Last-Event-Id"), "4");
  terms.build = software_build(1);
  const request_id other = PassOn("/tell/x");
  EXPECT_EQ(upstreams.sent.size(), 1u);
  EXPECT_EQ(CallerOf(other).status, 503);
}

TEST_F(TakenOverTest, ACallerThatLeavesTheOtherDaemonCancelsIt) {
  Add("p", "desk");
  const request_id id = PassOn("/look/x");
  served.OnCallerGone(id);
  EXPECT_TRUE(last().cancelled);
}

TEST_F(TakenOverTest, TooManyAtOnceAreDeclined) {
  for (int i = 0; i < 100; ++i) Add("p" + std::to_string(i), "desk");
  int declined = 0;
  for (int i = 0; i < 300; ++i)
    declined += SaidTo(PassOn("/look/x")).outcome == relay_outcome::kUnavailable ? 1 : 0;
  EXPECT_EQ(declined, 44);
}

}  // namespace
}  // namespace hawthorndrum
