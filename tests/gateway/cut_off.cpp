/// Tests of a daemon that reaches no upstream while other daemons do.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway_fixture.h"

namespace hawthorndrum {
namespace {

constexpr char kPeer[] = "10.9.0.2:7600";

class CutOffTest : public GatewayFixtureTest {
 protected:
  CutOffTest() {
    for (const char* id : {"d", "e", "f"}) engines.push_back(Add(id, "llm", engine_stage::kDecode));
    for (const char* id : {"p", "q", "r"}) desks.push_back(Add(id, "desk"));
    served.SetDaemons({{"g2", kPeer, "south"}});
  }
  void AnswerFromPeer(const upstream_call& call, int status, const std::string& outcome,
                      const std::string& body, std::vector<http_header> headers = {}) {
    headers.push_back({"X-Hawthorndrum-Response-Seal", "seal"});
    if (!outcome.empty()) headers.push_back({"Hawthorndrum-Relay-Outcome", outcome});
    served.OnAttemptHead({call.attempt, status, headers});
    served.OnAttemptBytes({call.attempt, body});
  }
  /** Answers a call that was passed on as the other daemon does. */
  void AnswerByPeer(const upstream_call& call) {
    const bool is_stream = call.request.target == "/tell/x";
    AnswerFromPeer(call, 200, "answered", is_stream ? "id: 1\ndata: t\n\n" : "body");
    served.OnAttemptFinished({call.attempt});
  }
  /** Fails every connection to an upstream, of calls and of probes; the other daemon answers. */
  void FailConnections() {
    for (; handled < upstreams.sent.size(); ++handled) {
      const upstream_call call = upstreams.sent[handled].call;
      if (call.address == kPeer) {
        AnswerByPeer(call);
        continue;
      }
      served.OnAttemptLost({call.attempt, attempt_failure::kNotConnected, false});
    }
    EndProbes(false);
  }
  void EndProbes(bool connected) {
    for (const upstream_id id : std::exchange(upstreams.probes, {}))
      served.OnProbeEnded({id, connected});
  }
  /** Lets requests and probes fail for the time in which a cut must be known. */
  void CutOff(int steps = 30) {
    for (int i = 0; i < steps; ++i) {
      Ask("/look/x");
      AskPrompt("/tell/x", "aa", 100, 50);
      FailConnections();
      Pass(milliseconds(100));
      FailConnections();
    }
  }
  bool IsPassedOn() const { return last().call.address == kPeer; }

  std::vector<upstream_id> engines;
  std::vector<upstream_id> desks;
  std::size_t handled = 0;
};

TEST_F(CutOffTest, ARequestIsPassedOnWhenItsHostReachesNoUpstream) {
  CutOff();
  for (const char* path : {"/look/x", "/pay/x"}) {
    const request_id id = Ask(path);
    EXPECT_EQ(CallerOf(id).answers, 0) << path << ": " << CallerOf(id).status;
    EXPECT_EQ(last().call.address, kPeer) << path;
  }
  const request_id id = AskPrompt("/tell/x", "aa", 100, 50);
  EXPECT_EQ(CallerOf(id).answers, 0) << CallerOf(id).status;
  EXPECT_EQ(last().call.address, kPeer);
}

TEST_F(CutOffTest, ItIsKnownWithinASecondAlthoughOlderConnectionsGoOn) {
  const request_id old = AskPrompt("/tell/x", "aa", 100, 50);
  const upstream_call open = last().call;
  handled = upstreams.sent.size();
  for (int i = 0; i < 10; ++i) {
    AskPrompt("/tell/x", "aa", 100, 50);
    FailConnections();
    if (i == 0) served.OnAttemptHead({open.attempt, 200, {{"X-Hawthorndrum-Response-Seal", "s"}}});
    served.OnAttemptBytes({open.attempt, "id: " + std::to_string(i) + "\ndata: t\n\n"});
    Pass(milliseconds(100));
    FailConnections();
  }
  AskPrompt("/tell/x", "aa", 100, 50);
  EXPECT_TRUE(IsPassedOn());
  EXPECT_EQ(CallerOf(old).aborts, 0);
  EXPECT_TRUE(served.is_cut_off());
}

TEST_F(CutOffTest, ItIsKnownInTimeWhenEverythingHangs) {
  AskPrompt("/tell/x", "aa", 100, 50);
  Ask("/look/x");
  handled = upstreams.sent.size();
  // Probes time out 200 ms after they began.
  for (int i = 0; i < 10; ++i) {
    Pass(milliseconds(200));
    EndProbes(false);
  }
  EXPECT_TRUE(served.is_cut_off());
  Ask("/pay/x");
  EXPECT_TRUE(IsPassedOn());
}

TEST_F(CutOffTest, CrashedEnginesAreNoCut) {
  for (int i = 0; i < 20; ++i) Add("c" + std::to_string(i), "llm", engine_stage::kDecode);
  std::set<upstream_id> crashed(engines.begin(), engines.end());
  for (int i = 0; i < 50; ++i) {
    AskPrompt("/tell/x", std::to_string(i), 100, 50);
    while (crashed.count(last().call.upstream) > 0) Lost(attempt_failure::kNotConnected, false);
    EXPECT_FALSE(IsPassedOn());
    Answered("id: 1\ndata: t\n\n");
    for (const upstream_id id : std::exchange(upstreams.probes, {}))
      served.OnProbeEnded({id, crashed.count(id) == 0});
    Pass(milliseconds(50));
    EXPECT_FALSE(served.is_cut_off());
  }
}

TEST_F(CutOffTest, CrashedUpstreamsOfOneServiceAreRefusedAndNotPassedOn) {
  for (int i = 0; i < 10; ++i) {
    const request_id told = AskPrompt("/tell/x", "aa", 100, 50);
    Answered("id: 1\ndata: t\n\n");
    EXPECT_EQ(CallerOf(told).status, 200);
    const request_id id = Ask("/look/x");
    while (CallerOf(id).answers == 0) {
      ASSERT_FALSE(IsPassedOn());
      Lost(attempt_failure::kNotConnected, false);
    }
    EXPECT_EQ(CallerOf(id).status, 503);
    Pass(milliseconds(100));
    for (const upstream_id probed : std::exchange(upstreams.probes, {})) {
      const bool is_desk = std::find(desks.begin(), desks.end(), probed) != desks.end();
      served.OnProbeEnded({probed, !is_desk});
    }
  }
}

TEST_F(CutOffTest, AFailureOfLongAgoIsNoReasonToPassRequestsOnWhenUpstreamsAreFull) {
  for (const upstream_id id : desks) {
    fleet_upstream& row = *served.fleet().Find(id);
    row.reachability.refused_since = row.reachability.refused_at = clock.Now();
    row.refuses_until = clock.Now() + seconds(20);
  }
  Pass(seconds(10));
  for (const upstream_id id : desks) served.fleet().Find(id)->peers_heard_at = clock.Now();
  const request_id id = Ask("/look/x");
  EXPECT_EQ(CallerOf(id).status, 503);
  EXPECT_TRUE(upstreams.sent.empty());
}

TEST_F(CutOffTest, TheSilenceOfAllUpstreamsIsNoCutIfTheyAcceptConnections) {
  AskPrompt("/tell/x", "aa", 100, 50);
  for (int i = 0; i < 15; ++i) {
    Pass(milliseconds(100));
    EndProbes(true);
  }
  EXPECT_FALSE(served.is_cut_off());
}

TEST_F(CutOffTest, RequestsGoToUpstreamsAgainSoonAfterTheCutAndStayThere) {
  CutOff();
  Pass(milliseconds(850));
  EndProbes(true);
  Pass(milliseconds(100));
  EndProbes(true);
  Pass(milliseconds(20));
  EXPECT_FALSE(served.is_cut_off());
  for (int i = 0; i < 10; ++i) {
    Ask("/look/x");
    EXPECT_FALSE(IsPassedOn());
    Answered("body");
    Pass(milliseconds(100));
    EndProbes(true);
  }
}

TEST_F(CutOffTest, ADeclinedRequestIsPassedOnToAnotherDaemonAndNeverRefusedForTheFirst) {
  CutOff();
  served.SetDaemons({{"g2", kPeer, "south"}, {"g3", "10.9.0.3:7600", "south"}});
  const request_id id = Ask("/pay/x");
  const upstream_call first = last().call;
  AnswerFromPeer(first, 503, "declined", "");
  Done();
  EXPECT_NE(last().call.address, first.address);
  EXPECT_EQ(CallerOf(id).answers, 0);
  AnswerFromPeer(last().call, 200, "answered", "paid");
  Done();
  EXPECT_EQ(CallerOf(id).status, 200);
  EXPECT_EQ(CallerOf(id).body, "paid");
  EXPECT_EQ(FindHeader(CallerOf(id).headers, "Hawthorndrum-Relay-Outcome"), "");
}

TEST_F(CutOffTest, ADaemonThatDeclinesOneRequestIsAskedForTheNext) {
  CutOff();
  Ask("/pay/x");
  AnswerFromPeer(last().call, 503, "declined", "");
  Done();
  Ask("/look/x");
  ASSERT_TRUE(IsPassedOn());
  const std::size_t sent = upstreams.sent.size();
  AnswerFromPeer(last().call, 503, "unavailable", "");
  Done();
  Ask("/look/x");
  EXPECT_EQ(upstreams.sent.size(), sent) << "it takes nothing for now";
}

TEST_F(CutOffTest, ARequestThatAllDaemonsDeclineIsRefusedOnce) {
  CutOff();
  const request_id id = Ask("/pay/x");
  const std::size_t sent = upstreams.sent.size();
  AnswerFromPeer(last().call, 503, "declined", "");
  Done();
  EXPECT_EQ(upstreams.sent.size(), sent);
  EXPECT_EQ(CallerOf(id).answers, 1);
  EXPECT_EQ(CallerOf(id).status, 503);
}

TEST_F(CutOffTest, ARefusalOfTheOtherDaemonReachesTheCallerWithItsRetryAfter) {
  CutOff();
  const request_id id = Ask("/look/x");
  AnswerFromPeer(last().call, 503, "refused", "", {{"Retry-After", "0.700"}});
  Done();
  EXPECT_EQ(CallerOf(id).status, 503);
  EXPECT_EQ(FindHeader(CallerOf(id).headers, "Retry-After"), "0.700");
}

TEST_F(CutOffTest, ALinkThatIsLostAfterSendingIsNoPromiseAndNothingIsSentAgain) {
  CutOff();
  for (const char* path : {"/pay/x", "/look/x"}) {
    const request_id id = Ask(path);
    const std::size_t sent = upstreams.sent.size();
    Lost();
    EXPECT_EQ(CallerOf(id).status, 502) << path;
    EXPECT_EQ(upstreams.sent.size(), sent) << path;
    Pass(seconds(1));
    FailConnections();
  }
}

TEST_F(CutOffTest, AnAnswerWithoutAnOutcomeIsNoPromise) {
  CutOff();
  const request_id id = Ask("/pay/x");
  AnswerFromPeer(last().call, 503, "", "");
  Done();
  EXPECT_EQ(CallerOf(id).status, 502);
}

TEST_F(CutOffTest, ACallerThatLeavesTakesAPassedOnRequestAlongButNoPayment) {
  CutOff();
  const request_id look = Ask("/look/x");
  served.OnCallerGone(look);
  EXPECT_TRUE(last().cancelled);
  const request_id pay = Ask("/pay/x");
  served.OnCallerGone(pay);
  EXPECT_FALSE(last().cancelled);
  AnswerFromPeer(last().call, 200, "answered", "paid");
  Done();
  EXPECT_EQ(served.in_flight(), 0u);
}

TEST_F(CutOffTest, AStreamThatBeganGoesOnAtAnotherDaemonAfterItsLastEvent) {
  const request_id id = AskPrompt("/tell/x", "aa", 100, 50);
  const upstream_call open = last().call;
  handled = upstreams.sent.size();
  served.OnAttemptHead({open.attempt, 200, {{"X-Hawthorndrum-Response-Seal", "s"}}});
  served.OnAttemptBytes({open.attempt, "id: 1\ndata: a\n\nid: 2"});
  CutOff(10);
  served.OnAttemptLost({open.attempt, attempt_failure::kConnectionLost, true});
  ASSERT_TRUE(IsPassedOn());
  EXPECT_EQ(SentHeader("Hawthorndrum-Relay-Last-Event"), "1");
  EXPECT_EQ(SentHeader("Hawthorndrum-Relay-Runs"), "1");
  EXPECT_NE(SentHeader("Hawthorndrum-Relay-Build"), "");
  AnswerFromPeer(last().call, 200, "answered", "id: 2\ndata: b\n\n");
  Done();
  EXPECT_EQ(CallerOf(id).body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_EQ(CallerOf(id).ends, 1);
}

TEST_F(CutOffTest, AStreamThatBreaksOffElsewhereDoesNotLookComplete) {
  CutOff();
  const request_id id = AskPrompt("/tell/x", "aa", 100, 50);
  AnswerFromPeer(last().call, 200, "answered", "id: 1\ndata: a\n\nid: 2");
  Lost();
  EXPECT_EQ(CallerOf(id).aborts, 1);
  EXPECT_EQ(CallerOf(id).ends, 0);
}

TEST_F(CutOffTest, NoticesOfAHostThatIsCutOffSayNothingOfLostUpstreams) {
  CutOff();
  EXPECT_TRUE(served.MakeNotice().avoided.empty());
}

TEST_F(CutOffTest, ConnectionsLostInACutAreNoEvidenceOfCrashes) {
  std::vector<upstream_call> open;
  for (int i = 0; i < 5; ++i) {
    AskPrompt("/note/x", "aa", 100, 50);
    open.push_back(last().call);
  }
  handled = upstreams.sent.size();
  CutOff();
  for (const upstream_call& call : open) {
    served.OnAttemptLost({call.attempt, attempt_failure::kConnectionLost, true});
    Pass(milliseconds(100));
    FailConnections();
  }
  AskPrompt("/note/x", "aa", 100, 50);
  EXPECT_TRUE(IsPassedOn());
}

TEST_F(CutOffTest, AnUpstreamThatLeavesAsAnotherDaemonsAnswerSaysGetsNothingAfterwards) {
  CutOff();
  Ask("/look/x");
  AnswerFromPeer(
      last().call, 200, "answered", "body",
      {{"Server-Leaving", "1"}, {"Hawthorndrum-Relay-Upstream", std::to_string(desks[0].value())}});
  Done();
  EXPECT_TRUE(served.fleet().Find(desks[0])->is_leaving());
}

}  // namespace
}  // namespace hawthorndrum
