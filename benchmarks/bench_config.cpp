/// Cost of the configuration on one daemon at 1,000, 10,000 and 31,000 services: memory, load time,
/// time to apply one change, and bytes and store calls per change.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <map>
#include <memory>

#include "config_fleet.h"
#include "publish_driver.h"
#include "systems/config_assembler.h"
#include "systems/config_codec.h"

namespace hawthorndrum {
namespace {

service_config TypicalService(int number) {
  service_config config = MakeService("team-" + std::to_string(number) + "-answers", number % 10);
  config.useful_within = milliseconds(500 + number % 5000);
  config.limits.max_tokens = 1024;
  return config;
}

/** Returns a store with that many services; it is shared by all runs of the benchmarks. */
fake_object_store& StoreOf(int services) {
  static std::map<int, std::unique_ptr<fake_object_store>> stores;
  std::unique_ptr<fake_object_store>& store = stores[services];
  if (store != nullptr) return *store;
  store = std::make_unique<fake_object_store>();
  std::vector<service_config> all;
  all.reserve(static_cast<std::size_t>(services));
  for (int i = 0; i < services; ++i) all.push_back(TypicalService(i));
  PublishNow(*store, MakeRequest(1, "bench", all));
  return *store;
}

const std::string& ValueOf(const fake_object_store& store, const std::string& key) {
  return store.objects().at(key).value;
}

/** Fetches all missing parts, returns their number and adds their size to `bytes`. */
std::size_t Assemble(const fake_object_store& store, config_assembler& assembler,
                     const config_tree& tree, std::size_t& bytes) {
  std::size_t parts = 0;
  while (!assembler.complete()) {
    for (const content_digest& digest : assembler.MissingParts(kConfigLeaves)) {
      const std::string& part = ValueOf(store, PartKey(digest));
      assembler.AddPart(digest, part, tree);
      bytes += part.size();
      parts += 1;
    }
  }
  return parts;
}

std::size_t HeapInUse() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

void LoadEverything(benchmark::State& state) {
  const fake_object_store& store = StoreOf(static_cast<int>(state.range(0)));
  const std::string& head = ValueOf(store, std::string(kConfigHeadKey));
  std::size_t memory = 0;
  std::size_t bytes = 0;
  std::size_t parts = 0;
  for (auto _ : state) {
    const std::size_t before = HeapInUse();
    auto tree = std::make_unique<config_tree>();
    config_assembler assembler;
    bytes = head.size();
    const auto begun = assembler.Begin(head, *tree);
    benchmark::DoNotOptimize(begun);
    parts = Assemble(store, assembler, *tree, bytes);
    assembler.ApplyTo(*tree);
    state.PauseTiming();
    memory = HeapInUse() - before;
    tree.reset();
    state.ResumeTiming();
  }
  state.counters["memory_MB"] = static_cast<double>(memory) / 1e6;
  state.counters["fetched_MB"] = static_cast<double>(bytes) / 1e6;
  state.counters["parts"] = static_cast<double>(parts);
  state.counters["bytes_a_service"] =
      static_cast<double>(memory) / static_cast<double>(state.range(0));
}

void ApplyOneChange(benchmark::State& state) {
  const int services = static_cast<int>(state.range(0));
  fake_object_store& store = StoreOf(services);
  config_tree tree;
  config_assembler assembler;
  std::size_t bytes = 0;
  std::size_t parts = 0;
  const std::string head_key(kConfigHeadKey);
  benchmark::DoNotOptimize(assembler.Begin(ValueOf(store, head_key), tree));
  Assemble(store, assembler, tree, bytes);
  assembler.ApplyTo(tree);
  int round = 0;
  for (auto _ : state) {
    state.PauseTiming();
    round += 1;
    service_config changed = TypicalService(round * 7919 % services);
    changed.limits.queue_length = static_cast<std::uint32_t>(round);
    PublishNow(store, MakeRequest(static_cast<std::uint64_t>(round) + 1, "bench", {changed}));
    const std::string& head = ValueOf(store, head_key);
    bytes = head.size();
    state.ResumeTiming();
    benchmark::DoNotOptimize(assembler.Begin(head, tree));
    parts = Assemble(store, assembler, tree, bytes);
    assembler.ApplyTo(tree);
  }
  constexpr double kChangesASecond = 4200.0 / 86400;
  state.counters["bytes_a_change"] = static_cast<double>(bytes);
  state.counters["parts_a_change"] = static_cast<double>(parts);
  state.counters["bytes_a_second_at_4200_a_day"] = static_cast<double>(bytes) * kChangesASecond;
}

void FindAService(benchmark::State& state) {
  const int services = static_cast<int>(state.range(0));
  const fake_object_store& store = StoreOf(services);
  config_tree tree;
  config_assembler assembler;
  std::size_t bytes = 0;
  benchmark::DoNotOptimize(assembler.Begin(ValueOf(store, std::string(kConfigHeadKey)), tree));
  Assemble(store, assembler, tree, bytes);
  assembler.ApplyTo(tree);
  const std::string name = TypicalService(services / 2).name;
  for (auto _ : state) benchmark::DoNotOptimize(tree.Find(name));
}

/** Propagates one change in simulated time; counts calls and bytes of all daemons together. */
void SpreadOneChange(benchmark::State& state) {
  constexpr int kDataCentres = 3;
  const int daemons_each = static_cast<int>(state.range(0));
  fake_object_store store;
  PublishNow(store, MakeRequest(1, "bench", {TypicalService(1), TypicalService(2)}));
  config_fleet fleet(store, kDataCentres, daemons_each);
  fleet.StepsUntil(generation(1), 100);
  std::uint64_t number = 1;
  std::uint64_t calls = 0;
  std::uint64_t bytes = 0;
  std::uint64_t messages = 0;
  int slowest = 0;
  for (auto _ : state) {
    service_config changed = TypicalService(1);
    number += 1;
    changed.limits.queue_length = static_cast<std::uint32_t>(number);
    PublishNow(store, MakeRequest(number, "bench", {changed}));
    const std::uint64_t calls_before = store.calls();
    std::uint64_t bytes_before = 0;
    std::uint64_t messages_before = 0;
    for (int i = 0; i < fleet.size(); ++i) bytes_before += fleet.member(i).bytes_sent;
    for (int i = 0; i < fleet.size(); ++i) messages_before += fleet.member(i).messages_sent;
    slowest = std::max(slowest, fleet.StepsUntil(generation(number), 100));
    calls += store.calls() - calls_before;
    for (int i = 0; i < fleet.size(); ++i) bytes += fleet.member(i).bytes_sent;
    for (int i = 0; i < fleet.size(); ++i) messages += fleet.member(i).messages_sent;
    bytes -= bytes_before;
    messages -= messages_before;
  }
  const double rounds = static_cast<double>(state.iterations());
  state.counters["store_calls_a_data_centre"] = static_cast<double>(calls) / rounds / kDataCentres;
  state.counters["bytes_a_daemon"] = static_cast<double>(bytes) / rounds / fleet.size();
  state.counters["messages_a_daemon"] = static_cast<double>(messages) / rounds / fleet.size();
  state.counters["slowest_ms"] = slowest * 100;
}

BENCHMARK(LoadEverything)->Arg(1000)->Arg(10000)->Arg(31000)->Unit(benchmark::kMillisecond);
BENCHMARK(ApplyOneChange)
    ->Arg(1000)
    ->Arg(10000)
    ->Arg(31000)
    ->Iterations(200)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(FindAService)->Arg(1000)->Arg(10000)->Arg(31000);
BENCHMARK(SpreadOneChange)->Arg(5)->Arg(10)->Arg(20)->Iterations(20)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace hawthorndrum

BENCHMARK_MAIN();
