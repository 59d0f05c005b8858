/// Tests of a daemon that reaches no upstream while other daemons do.
#include <gtest/gtest.h>

#include <string>

#include "gateway_fixture.h"

namespace hawthorndrum {
namespace {

constexpr char kPeer[] = "10.9.0.2:7600";

class CutOffTest : public GatewayFixtureTest {
 protected:
  CutOffTest() {
    for (const char* id : {"d", "e", "f"}) Add(id, "llm", engine_stage::kDecode);
    for (const char* id : {"p", "q", "r"}) Add(id, "desk");
    served.SetDaemons({{"g2", kPeer, "south"}});
  }
  /** Fails every connection to an upstream, of calls and of probes. */
  void FailConnections() {
    for (; handled < upstreams.sent.size(); ++handled) {
      const upstream_call call = upstreams.sent[handled].call;
      if (call.address == kPeer) continue;
      served.OnAttemptLost({call.attempt, attempt_failure::kNotConnected, false});
    }
    for (const upstream_id id : std::exchange(upstreams.probes, {}))
      served.OnProbeEnded({id, false});
  }
  /** Lets requests and probes fail for the time in which a cut must be known. */
  void CutOff() {
    for (int i = 0; i < 30; ++i) {
      Ask("/look/x");
      AskPrompt("/tell/x", "aa", 100, 50);
      FailConnections();
      Pass(milliseconds(100));
      FailConnections();
    }
  }

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

}  // namespace
}  // namespace hawthorndrum
