/// Tests when a daemon asks others for a configuration that the store does not deliver.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "fake_clock.h"
#include "fake_random_source.h"
#include "gateway/daemon_directory.h"
#include "relay/config_inquiry.h"
#include "relay/relay_headers.h"

namespace hawthorndrum {
namespace {

class ConfigInquiryTest : public testing::Test {
 protected:
  std::optional<std::string> Next(std::uint64_t own, std::uint64_t newest) {
    return inquiry.Next(own, newest, others, clock.Now());
  }

  fake_random_source random;
  fake_clock clock;
  config_inquiry inquiry{random};
  std::vector<daemon_record> others = {{"g2", "10.9.0.2:1", "n"}, {"g3", "10.9.0.3:1", "n"}};
};

TEST_F(ConfigInquiryTest, AsksOnlyIfTheStoreHasNotDeliveredTheVersionInTime) {
  EXPECT_FALSE(Next(4, 4));
  EXPECT_FALSE(Next(4, 5));
  clock.Advance(config_inquiry::kStoreGrace - milliseconds(1));
  EXPECT_FALSE(Next(4, 5));
  EXPECT_FALSE(Next(5, 5));
  EXPECT_FALSE(Next(5, 6));
  clock.Advance(config_inquiry::kStoreGrace);
  EXPECT_TRUE(Next(5, 6));
  EXPECT_FALSE(Next(5, 6)) << "one question at a time";
}

// Load: one daemon of 410 that the store refuses, while half of the others are refused as well.
TEST_F(ConfigInquiryTest, HasTheVersionWellWithinTheBoundAlthoughHalfOfTheDaemonsHaveItNot) {
  constexpr duration kBound = seconds(3);
  constexpr duration kNoticePeriod = milliseconds(250);
  others.clear();
  for (int i = 0; i < 409; ++i)
    others.push_back({"g" + std::to_string(i), "10.9.0.1:" + std::to_string(i), "n"});
  for (int trial = 0; trial < 100; ++trial) {
    config_inquiry fresh(random);
    const time_point told = clock.Now();
    bool has_it = false;
    while (!has_it) {
      clock.Advance(milliseconds(20));
      const auto asked = fresh.Next(4, 5, others, clock.Now());
      if (!asked) continue;
      clock.Advance(milliseconds(20));
      has_it = std::stoi(asked->substr(9)) % 2 == 0;
      fresh.OnAnswer(false, clock.Now());
    }
    EXPECT_LT(clock.Now() - told, kBound - kNoticePeriod) << trial;
  }
}

TEST_F(ConfigInquiryTest, AVersionThatCannotBeReadIsAskedForLessAndLessOften) {
  int asked = 0;
  for (int i = 0; i < 600; ++i) {
    clock.Advance(milliseconds(100));
    if (!Next(4, 5)) continue;
    ++asked;
    inquiry.OnAnswer(true, clock.Now());
  }
  EXPECT_LT(asked, 20);
}

TEST(ConfigQuestion, IsNoHeaderThatACallersRequestKeepsWhenItIsPassedOn) {
  std::vector<http_header> headers;
  SetConfigQuestion(17, headers);
  EXPECT_EQ(ReadConfigQuestion(headers), 17u);
  SetRelayTerms({}, headers);
  EXPECT_FALSE(ReadConfigQuestion(headers));
}

}  // namespace
}  // namespace hawthorndrum
