/// Tests of answers without a length or chunks whose connection is closed after their head.
#include <gtest/gtest.h>

#include "gateway_fixture.h"
#include "relay/relay_headers.h"

namespace hawthorndrum {
namespace {

class BrokenHeadsTest : public GatewayFixtureTest {
 protected:
  /** Ends the last call after the head of a success and `body`, by closing its connection. */
  void EndByClose(const std::string& body = {}) {
    const attempt_id attempt = last().call.attempt;
    served.OnAttemptHead({attempt, 200, {{"X-Hawthorndrum-Response-Seal", "seal"}}});
    if (!body.empty()) served.OnAttemptBytes({attempt, body});
    served.OnAttemptFinished({attempt, true});
  }
};

// Guards against a 200 with an empty body, framed as whole, from an upstream that crashed.
TEST_F(BrokenHeadsTest, AnAnswerThatBreaksOffAfterItsHeadIsNotWhole) {
  for (const char* each : {"p", "q", "r"}) Add(each, "desk");
  const request_id pay = Ask("/pay/x");
  EndByClose();
  EXPECT_EQ(CallerOf(pay).status, 502) << "it may have run";
  EXPECT_EQ(upstreams.sent.size(), 1u);
  const request_id look = Ask("/look/x");
  EndByClose();
  ASSERT_EQ(upstreams.sent.size(), 3u) << "it may run again";
  Answered("body");
  EXPECT_EQ(CallerOf(look).status, 200);
  EXPECT_EQ(CallerOf(look).body, "body");
}

TEST_F(BrokenHeadsTest, AnAnswerWithABodyMayEndWithItsConnection) {
  Add("p", "desk");
  const request_id id = Ask("/pay/x");
  EndByClose("body");
  EXPECT_EQ(CallerOf(id).status, 200);
  EXPECT_EQ(CallerOf(id).body, "body");
}

// Daemons frame their answers, so that such an end is that of the daemon.
TEST_F(BrokenHeadsTest, AnAnswerOfAnotherDaemonDoesNotEndWithItsConnection) {
  served.SetDaemons({{"g2", "10.9.0.2:7600", "south"}});
  for (const char* each : {"p", "q", "r"}) Add(each, "desk");
  for (std::size_t handled = 0; !served.is_cut_off();) {
    Ask("/look/x");
    for (; handled < upstreams.sent.size(); ++handled)
      served.OnAttemptLost(
          {upstreams.sent[handled].call.attempt, attempt_failure::kNotConnected, false});
    for (const upstream_id each : std::exchange(upstreams.probes, {}))
      served.OnProbeEnded({each, false});
    Pass(milliseconds(100));
  }
  for (const std::string body : {"", "bo"}) {
    const request_id id = Ask("/pay/x");
    ASSERT_EQ(last().call.address, "10.9.0.2:7600");
    std::vector<http_header> headers = {{"X-Hawthorndrum-Response-Seal", "seal"}};
    SetRelayAnswer({relay_outcome::kAnswered, {}}, headers);
    const attempt_id attempt = last().call.attempt;
    served.OnAttemptHead({attempt, 200, headers});
    if (!body.empty()) served.OnAttemptBytes({attempt, body});
    served.OnAttemptFinished({attempt, true});
    EXPECT_EQ(CallerOf(id).status, 502) << body;
  }
}

}  // namespace
}  // namespace hawthorndrum
