/// Admin sections of the peer group, and the accounting of control work.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "fake_daemon_group.h"

namespace hawthorndrum {
namespace {

struct sections : testing::Test {
  sections() {
    for (std::size_t i = 0; i < 3; ++i) group.Start(DaemonAddress(i));
    group.AdvanceUntil([&] { return group.ViewsAgree(); }, seconds(20));
    group.ListEngines(6);
    group.Advance(seconds(5));
  }
  admin_section& Section(const std::string& name) {
    for (admin_section* section : group.at(0).group->sections()) {
      if (section->name() == name) return *section;
    }
    throw std::logic_error("no such section");
  }

  fake_daemon_group group;
};

TEST_F(sections, PeersAreDescribed) {
  const auto report = Section("peers").Report("");
  ASSERT_TRUE(report);
  EXPECT_EQ((*report)["self"]["address"], DaemonAddress(0));
  ASSERT_EQ((*report)["peers"].size(), 2u);
  const auto one = Section("peers").Report(DaemonAddress(2));
  ASSERT_TRUE(one);
  EXPECT_EQ((*one)["state"], "alive");
  EXPECT_EQ((*one)["linked"], true);
  EXPECT_FALSE(Section("peers").Report("10.0.0.0:1"));
  EXPECT_FALSE(Section("peers").Act("drain", {}));
}

TEST_F(sections, UpstreamsAreDescribedAndDrained) {
  const std::string address = group.hosts[4].address;
  const auto before = Section("upstreams").Report(address);
  ASSERT_TRUE(before);
  EXPECT_EQ((*before)["takes_work"], true);
  EXPECT_EQ((*before)["report"]["models"][0]["name"], "model-a");
  ASSERT_TRUE(Section("upstreams").Act("drain", {{"address", address}}));
  group.Advance(seconds(1));
  const auto after = Section("upstreams").Report(address);
  EXPECT_EQ((*after)["takes_work"], false);
  EXPECT_EQ((*after)["leaving"], nlohmann::json::array({"operator"}));
  ASSERT_TRUE(Section("upstreams").Act("undrain", {{"address", address}}));
  group.Advance(seconds(1));
  EXPECT_EQ((*Section("upstreams").Report(address))["takes_work"], true);
}

TEST_F(sections, WrongVerbsAndArgumentsAreRefused) {
  EXPECT_FALSE(Section("upstreams").Act("erase", {{"address", group.hosts[0].address}}));
  EXPECT_FALSE(Section("upstreams").Act("drain", {{"address", 5}}));
  EXPECT_FALSE(Section("upstreams").Act("drain", nlohmann::json::array()));
  EXPECT_FALSE(Section("upstreams").Act("drain", {{"address", "10.0.0.0:9"}}));
  EXPECT_FALSE(Section("upstreams").Report("10.0.0.0:9"));
}

struct stepping_cpu_clock : cpu_clock {
  std::uint64_t ThreadNanoseconds() const override { return now += 1000; }
  mutable std::uint64_t now = 0;
};

TEST(controlbudget, NestedWorkCountsOnceAndSharesAreOfTheBudget) {
  stepping_cpu_clock cpu;
  metrics_registry metrics;
  control_budget budget(cpu, metrics);
  counter bytes;
  budget.AddBytes(bytes);
  budget.AddMemory("some", [] { return kMemoryBudgetBytes / 4; });
  budget.Run(time_point(seconds(100)));
  {
    const control_work outer(budget);
    const control_work inner(budget);
  }
  bytes.Add(static_cast<std::uint64_t>(kByteBudgetPerSecond));
  budget.Run(time_point(seconds(102)));
  EXPECT_EQ(metrics.Counter("hawthorndrum_control_cpu_microseconds_total").value(), 1u);
  const auto permille = [&](std::string_view resource) {
    return metrics
        .Counter("hawthorndrum_control_budget_permille", MetricLabel("resource", resource))
        .value();
  };
  EXPECT_EQ(permille("bytes"), 500u);
  EXPECT_EQ(permille("memory"), 250u);
}

}  // namespace
}  // namespace hawthorndrum
