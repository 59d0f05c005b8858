/// Tests of numbers in configurations and requests that no operator or caller means.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>

#include "base/saturated.h"
#include "base/scaled.h"
#include "config_decoder.h"
#include "gateway/gateway_config.h"
#include "gateway/prompt.h"

namespace hawthorndrum {
namespace {

constexpr double kNotANumber = std::numeric_limits<double>::quiet_NaN();
constexpr std::int64_t kYearUs = std::int64_t{365} * 24 * 3600 * 1'000'000;

/** A configuration in which every number has this text. */
std::shared_ptr<const gateway_config> ConfigWith(const std::string& number) {
  std::string text =
      R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"safe",
    "timeout_ms":N,"goal_ms":N,"gap_aim_ms":N,"attempts":N,"priority":N,
    "split":[{"service":"s","weight":N},{"service":"t","weight":N}]}],
    "services":[{"name":"s","max_conns":N,"engine":{"slots":N,"kv_capacity":N,"kv_token_bytes":N,
    "link_mbps":N,"handle_ttl_s":N}}],"limits":{"max_header_bytes":N,"max_body_bytes":N,
    "header_timeout_ms":N,"idle_timeout_ms":N}})";
  for (auto at = text.find(":N"); at != std::string::npos; at = text.find(":N"))
    text.replace(at + 1, 1, number);
  const auto decoded = DecodeConfig(nlohmann::json::parse(text));
  return decoded ? *decoded : nullptr;
}

struct number_case {
  const char* number;
  std::int64_t timeout_us;
  int attempts;
  int priority;
  double weight;
  std::uint32_t max_connections;
  std::uint32_t slots;
  std::uint64_t memory_tokens;
  std::int64_t lifetime_us;
  std::uint32_t header_bytes;
  std::uint64_t body_bytes;
  std::int64_t idle_us;
};

// Guards against conversions beyond a type, which give one value on x86-64 and another on arm64.
TEST(NumbersTest, EveryNumberOfAConfigurationIsBounded) {
  constexpr std::uint64_t kMiB = 1 << 20;
  constexpr std::uint64_t kMost = 1'000'000;
  constexpr std::uint64_t kMostTokens = kMost * kMost;
  const number_case cases[] = {
      {"0", 0, 1, 0, 0, 0, 1, 0, 0, 16384, 0, 15'000'000},
      {"-0.0", 0, 1, 0, 0, 0, 1, 0, 0, 16384, 0, 15'000'000},
      {"-1", 5'000'000, 1, -1, 0, 0, 1, 0, 0, 16384, 4 * kMiB, 15'000'000},
      {"-1e300", 5'000'000, 1, -1'000'000, 0, 0, 1, 0, 0, 16384, 4 * kMiB, 15'000'000},
      {"0.5", 500, 1, 0, 0.5, 0, 1, 0, 500'000, 16384, 0, 500},
      {"2.9", 2900, 2, 2, 2.9, 2, 2, 2, 2'900'000, 2, 2, 2900},
      {"9007199254740993", kYearUs, 1000, 1'000'000, 1e9, kMost, kMost, kMostTokens, kYearUs,
       1 << 30, kMiB * kMiB, kYearUs},
      {"9223372036854775808", kYearUs, 1000, 1'000'000, 1e9, kMost, kMost, kMostTokens, kYearUs,
       1 << 30, kMiB * kMiB, kYearUs},
      {"1e19", kYearUs, 1000, 1'000'000, 1e9, kMost, kMost, kMostTokens, kYearUs, 1 << 30,
       kMiB * kMiB, kYearUs},
      {"1e300", kYearUs, 1000, 1'000'000, 1e9, kMost, kMost, kMostTokens, kYearUs, 1 << 30,
       kMiB * kMiB, kYearUs},
  };
  for (const number_case& each : cases) {
    SCOPED_TRACE(each.number);
    const auto config = ConfigWith(each.number);
    ASSERT_NE(config, nullptr);
    const route& read = config->routes[0];
    EXPECT_EQ(read.timeout, duration(each.timeout_us));
    EXPECT_EQ(read.attempts, each.attempts);
    EXPECT_EQ(read.priority, each.priority);
    EXPECT_EQ(read.targets[1].weight, each.weight);
    const gateway_service& service = config->services[0];
    EXPECT_EQ(service.max_connections, each.max_connections);
    EXPECT_EQ(service.slots, each.slots);
    EXPECT_EQ(service.memory_tokens, each.memory_tokens);
    EXPECT_EQ(service.handle_lifetime, duration(each.lifetime_us));
    EXPECT_TRUE(service.link_mbps >= 0 && std::isfinite(service.link_mbps));
    EXPECT_EQ(config->limits.header_bytes, each.header_bytes);
    EXPECT_EQ(config->limits.body_bytes, each.body_bytes);
    EXPECT_EQ(config->limits.idle_timeout, duration(each.idle_us));
  }
}

TEST(NumbersTest, ConversionsEndAtTheBoundsOfTheType) {
  constexpr auto kMost = std::numeric_limits<std::int64_t>::max();
  EXPECT_EQ(Saturated<std::int64_t>(kNotANumber, 0), 0);
  EXPECT_EQ(Saturated<std::int64_t>(9.3e18), kMost);
  EXPECT_EQ(Saturated<std::int64_t>(-1e300), std::numeric_limits<std::int64_t>::min());
  EXPECT_EQ(Saturated<std::uint32_t>(-1), 0u);
  EXPECT_EQ(Saturated<std::uint32_t>(4294967296.0), UINT32_MAX);
  EXPECT_EQ(Scaled(duration(kMost), 3), duration(kMost));
  EXPECT_EQ(BoundedMilliseconds(INFINITY), kLongestDuration);
}

// Guards against sums of token counts that wrap round to a short prompt.
TEST(NumbersTest, HugeTokenCountsAreUnreadable) {
  const std::string most = std::to_string(UINT64_MAX);
  EXPECT_FALSE(ReadPrompt("a:" + most + ",b:2", "2,2").has_value());
  EXPECT_FALSE(ReadPrompt("", most + ",2").has_value());
  EXPECT_FALSE(ReadPrompt("", "2," + most).has_value());
  EXPECT_FALSE(ReadPrompt("a:1000000001", "2,2").has_value());
  EXPECT_TRUE(ReadPrompt("a:1000000000", "2,2").has_value());
}

}  // namespace
}  // namespace hawthorndrum
