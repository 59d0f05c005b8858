/// Cost of callers' keys on one daemon at 1,000, 10,000 and 31,000 teams of 4 keys: memory and time
/// of a new configuration, and of a lookup.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "config_decoder.h"
#include "gateway/gateway_config.h"
#include "teams/caller_check.h"
#include "teams/team_shares.h"

namespace hawthorndrum {
namespace {

constexpr int kKeysEach = 4;

std::string KeyOf(int team, int key) {
  return "key-0123456789abcdef-" + std::to_string(team) + "-" + std::to_string(key);
}

std::string TextOf(int teams, int version, const std::string& last_key) {
  nlohmann::json spec = {{"version", version},
                         {"routes", nlohmann::json::array()},
                         {"services", nlohmann::json::array()},
                         {"tenants", nlohmann::json::array()}};
  for (int i = 0; i < teams; ++i) {
    nlohmann::json keys = nlohmann::json::array();
    for (int k = 0; k < kKeysEach; ++k) keys.push_back(KeyOf(i, k));
    if (i + 1 == teams) keys.push_back(last_key);
    spec["tenants"].push_back({{"name", "team-" + std::to_string(i)}, {"api_keys", keys}});
  }
  return spec.dump();
}

std::shared_ptr<const gateway_config> Read(const std::string& text, const gateway_config* before) {
  team_problems problems;
  return *DecodeConfig(nlohmann::json::parse(text), 7, before, problems);
}

std::size_t HeapInUse() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

void ReadVersion(benchmark::State& state, const std::string& last_key) {
  const int teams = static_cast<int>(state.range(0));
  const std::string text = TextOf(teams, 2, last_key);
  const std::size_t before_first = HeapInUse();
  const auto first = Read(TextOf(teams, 1, "a"), nullptr);
  state.counters["first_bytes"] = static_cast<double>(HeapInUse() - before_first);
  state.counters["text_bytes"] = static_cast<double>(text.size());
  std::shared_ptr<const gateway_config> next;
  for (auto each : state) {
    next.reset();
    const std::size_t before = HeapInUse();
    next = Read(text, first.get());
    state.counters["next_bytes"] = static_cast<double>(HeapInUse() - before);
  }
}

void OneKeyChanged(benchmark::State& state) { ReadVersion(state, "b"); }
void SameTeams(benchmark::State& state) { ReadVersion(state, "a"); }

void IndexOnly(benchmark::State& state) {
  const auto config = Read(TextOf(static_cast<int>(state.range(0)), 1, "a"), nullptr);
  for (auto each : state) {
    const key_index index(config->teams, 7);
    state.counters["bytes"] = static_cast<double>(index.memory_bytes());
  }
}

void Lookup(benchmark::State& state) {
  const int teams = static_cast<int>(state.range(0));
  const auto config = Read(TextOf(teams, 1, "a"), nullptr);
  int i = 0;
  for (auto each : state) {
    const std::string key = KeyOf(i, 1);
    i = (i + 7919) % teams;
    const key_rules rules{config->teams, config->keys(), false, false};
    benchmark::DoNotOptimize(CheckCaller(rules, {key, {}}));
  }
}

/** The rates of teams that all are active while room is short. */
void Rates(benchmark::State& state) {
  const int teams = static_cast<int>(state.range(0));
  const std::size_t before = HeapInUse();
  team_shares shares;
  time_point now = time_point() + seconds(1000);
  const auto record_all = [&] {
    for (int i = 1; i <= teams; ++i)
      shares.Record({1, 1, static_cast<std::uint64_t>(i)}, 1000, i % 2 == 0, now);
  };
  record_all();
  state.counters["bytes"] = static_cast<double>(HeapInUse() - before);
  for (auto each : state) {
    // The levels are set anew each tenth of a second.
    state.PauseTiming();
    now += milliseconds(100);
    record_all();
    state.ResumeTiming();
    benchmark::DoNotOptimize(shares.Judge({1, 1, 2}, 1000, 2, now));
  }
}

BENCHMARK(Rates)->Arg(1000)->Arg(10000)->Arg(31000)->Unit(benchmark::kMillisecond);
BENCHMARK(OneKeyChanged)->Arg(1000)->Arg(10000)->Arg(31000)->Unit(benchmark::kMillisecond);
BENCHMARK(SameTeams)->Arg(1000)->Arg(10000)->Arg(31000)->Unit(benchmark::kMillisecond);
BENCHMARK(IndexOnly)->Arg(1000)->Arg(10000)->Arg(31000)->Unit(benchmark::kMillisecond);
BENCHMARK(Lookup)->Arg(1000)->Arg(10000)->Arg(31000);

}  // namespace
}  // namespace hawthorndrum

BENCHMARK_MAIN();
