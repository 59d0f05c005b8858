/// Tests of upstreams that fall silent and go on: their silence ends no answer.
#include <gtest/gtest.h>

#include "gateway_fixture.h"

namespace hawthorndrum {
namespace {

class SilenceTest : public GatewayFixtureTest {};

TEST_F(SilenceTest, ADelayOfThisDaemonIsLogged) {
  Pass(milliseconds(100));
  EXPECT_EQ(log.LastOf("loop_delayed"), "");
  Pass(milliseconds(1500));
  EXPECT_EQ(log.LastOf("loop_delayed"),
            R"({"event":"loop_delayed","after_ms":1500,"in_flight":0})");
}

}  // namespace
}  // namespace hawthorndrum
