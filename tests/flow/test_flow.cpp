/// Tests what is held for callers and upstreams that read slowly.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "flow/flow_control.h"
#include "gateway_fixture.h"

namespace hawthorndrum {
namespace {

TEST(FlowControl, ShortAnswersAreReadOutAndLongOnesPaused) {
  const flow_limits limits;
  const flow_control flow(limits);
  EXPECT_FALSE(flow.IsPaused(false, limits.pause_above));
  EXPECT_TRUE(flow.IsPaused(false, limits.pause_above + 1));
  EXPECT_TRUE(flow.IsPaused(true, limits.resume_below + 1)) << "not resumed for each byte";
  EXPECT_FALSE(flow.IsPaused(true, limits.resume_below));
}

// Load: 1,000 callers that don't read, each with an answer without end, and 1,000 upstreams that
// don't take bodies of 64 KiB, on a host of 120 MiB.
TEST(FlowControl, SlowCallersAndUpstreamsStayWithinAThirdOfTheMemory) {
  const flow_limits limits = flow_limits::ForMemory(120 << 20);
  flow_control flow(limits);
  std::size_t refused = 0;
  for (std::uint64_t i = 1; i <= 1000; ++i) {
    const std::size_t body = 64 << 10;
    if (flow.MayTake(body)) {
      flow.SetHeld(request_id(i), body);
    } else {
      ++refused;
    }
  }
  std::vector<std::size_t> unsent(1000, 0);
  for (int round = 0; round < 100; ++round) {
    for (std::size_t i = 0; i < unsent.size(); ++i) {
      if (flow.IsPaused(unsent[i] > limits.pause_above_when_short, unsent[i])) continue;
      unsent[i] += 16 << 10;
      flow.SetHeld(request_id(2000 + i), unsent[i]);
    }
  }
  // Between the check and the arrival of what was read, each answer may take one read more.
  EXPECT_LE(flow.held(), std::size_t{120 << 20} / 3 + 1000 * (32 << 10));
  EXPECT_LT(refused, 500u) << "bodies up to a third of the memory are taken";
  for (std::uint64_t i = 0; i < 4000; ++i) flow.Forget(request_id(i));
  EXPECT_EQ(flow.held(), 0u);
  EXPECT_TRUE(flow.MayTake(1 << 20));
}

class slow_caller_port : public fake_caller_port {
 public:
  std::size_t UnsentBytes(request_id request) const override {
    const auto found = unsent.find(request);
    return found == unsent.end() ? 0 : found->second;
  }
  std::map<request_id, std::size_t> unsent;
};

class pausable_calls : public fake_upstream_calls {
 public:
  void SetPaused(attempt_id attempt, bool is_paused) override { paused[attempt] = is_paused; }
  std::map<attempt_id, bool> paused;
};

class SlowCallerTest : public GatewayFixtureTest {
 protected:
  gateway_ports SlowPorts() {
    gateway_ports ports = Ports();
    ports.callers = &slow_callers;
    ports.upstreams = &calls;
    return ports;
  }
  SlowCallerTest() : gate(SlowPorts()) {
    auto config = MakeConfig(1);
    for (route& each : config->routes) each.timeout = seconds(60);
    gate.SetConfig(config);
    gate.SetFleetKnown();
    upstream_entry entry;
    entry.id = "e1";
    entry.service = "llm";
    entry.address = "10.0.0.1:80";
    entry.data_centre = "north";
    entry.stage = engine_stage::kDecode;
    entry.slots = 64;
    gate.fleet().Put(entry);
    http_request request;
    request.method = "POST";
    request.target = "/note/1";
    request.headers = {{"Host", "shop.example"}, {"X-Hawthorndrum-Request-Id", "q1"}};
    gate.OnRequest(request_id(1), request);
    attempt = calls.sent.back().call.attempt;
    gate.OnAttemptHead({attempt, 200, {{"X-Hawthorndrum-Response-Seal", "s"}}});
  }
  void Event(std::size_t unsent) {
    slow_callers.unsent[request_id(1)] = unsent;
    gate.OnAttemptBytes({attempt, "id: " + std::to_string(++last_event) + "\ndata: x\n\n"});
  }
  void PassTime(duration time) {
    for (duration left = time; left > duration(0); left -= milliseconds(100)) {
      clock.Advance(milliseconds(100));
      gate.Run(clock.Now());
    }
  }

  slow_caller_port slow_callers;
  pausable_calls calls;
  gateway gate;
  attempt_id attempt;
  int last_event = 0;
};

// Guards against a stream that is taken for stalled, and cut, because its caller reads slowly.
TEST_F(SlowCallerTest, ItsUpstreamIsPausedAndNotTakenForStalled) {
  Event(1 << 20);
  EXPECT_TRUE(calls.paused[attempt]);
  PassTime(seconds(30));
  EXPECT_FALSE(calls.sent.back().cancelled);
  EXPECT_FALSE(slow_callers.records[request_id(1)].HasEnded());
  slow_callers.unsent[request_id(1)] = 1000;
  PassTime(milliseconds(200));
  EXPECT_FALSE(calls.paused[attempt]) << "read again when the caller has caught up";
  Event(0);
  gate.OnAttemptFinished({attempt});
  EXPECT_EQ(slow_callers.records[request_id(1)].ends, 1);
}

// Guards against a slow reader that never ends.
TEST_F(SlowCallerTest, ACallerThatNeverReadsEndsAtItsDeadline) {
  Event(1 << 20);
  PassTime(seconds(61));
  EXPECT_TRUE(calls.sent.back().cancelled);
  EXPECT_EQ(slow_callers.records[request_id(1)].aborts, 1);
  EXPECT_EQ(gate.in_flight(), 0u);
}

}  // namespace
}  // namespace hawthorndrum
