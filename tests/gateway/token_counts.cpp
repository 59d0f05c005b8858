/// Tests of requests whose token counts name no prompt.
#include <gtest/gtest.h>

#include "gateway_fixture.h"

namespace hawthorndrum {
namespace {

class TokenCountsTest : public GatewayFixtureTest {};

struct odd_counts {
  std::string counts;
  std::string parts;
};

// Guards against sums that overflow: other callers' prompts were then refused or sent elsewhere.
TEST_F(TokenCountsTest, AbsurdCountsAreLeftToTheUpstreamAndDelayNoOtherCaller) {
  const std::string biggest = "18446744073709551615";
  const std::string half = "9223372036854775808";
  const odd_counts rows[] = {{biggest + ",1", ""},
                             {"1," + biggest, ""},
                             {biggest + "," + biggest, ""},
                             {"1000000000000,10", ""},
                             {"10,1000000000000", ""},
                             {"5,1", "a:" + biggest + ",b:1"},
                             {"5,1", "a:" + half + ",b:" + half + ",c:5"},
                             {"5,1", "a:5,b:" + biggest},
                             {"-1,5", ""}};
  const upstream_id engine = Add("d", "llm", engine_stage::kDecode);
  for (const odd_counts& row : rows) {
    SCOPED_TRACE(row.counts + " " + row.parts);
    const std::size_t before = upstreams.sent.size();
    const request_id odd = Ask("/tell/x", {{"X-Hawthorndrum-Token-Count", row.counts},
                                           {"X-Hawthorndrum-Prompt-Prefix", row.parts}});
    EXPECT_EQ(upstreams.sent.size(), before + 1) << CallerOf(odd).status;
    EXPECT_LE(served.fleet().Find(engine)->own.memory_tokens, 500000u);
    AskPrompt("/tell/y", "aa", 100, 50);
    EXPECT_EQ(upstreams.sent.size(), before + 2);
    EXPECT_EQ(SentHeader("X-Hawthorndrum-Token-Count"), "150,100");
  }
}

}  // namespace
}  // namespace hawthorndrum
