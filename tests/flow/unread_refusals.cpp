/// Tests what operators and other daemons are told of requests that are refused unread.
#include "unread_refusals.h"

#include <gtest/gtest.h>

#include "base/byte_budget.h"
#include "base/metrics_registry.h"
#include "gateway/daemon_directory.h"
#include "ports/event_sink.h"
#include "recording_log.h"
#include "relay_endpoint.h"

namespace hawthorndrum {
namespace {

class no_events : public event_sink {
 public:
  void Post(event) override { FAIL() << "a refused request is no event"; }
};

// Guards against a daemon that takes such a refusal for one of an upstream.
TEST(UnreadRefusals, AreLoggedCountedAndSaidToOtherDaemons) {
  recording_log log;
  metrics_registry metrics;
  byte_budget budget(100);
  budget.Add(90);
  unread_refusals refusals(budget, log, metrics);
  no_events events;
  daemon_directory daemons("a");
  relay_endpoint relay(events, daemons);
  relay.SetRefusals(refusals);
  http_answer refusal;
  relay.OnRefusedUnread(40, refusal);
  EXPECT_EQ(TakeRelayAnswer(refusal.headers).outcome, relay_outcome::kUnavailable);
  EXPECT_EQ(metrics.Counter("gateway_refused_total", "reason=\"host_full\"").value(), 1u);
  ASSERT_EQ(log.events, std::vector<std::string>{"request_refused_unread"});
  EXPECT_NE(log.lines[0].find("\"server\":\"daemons\",\"bytes\":40,\"held_bytes\":90,"
                              "\"limit_bytes\":100"),
            std::string::npos)
      << log.lines[0];
}

}  // namespace
}  // namespace hawthorndrum
