/// Duration of a routing decision by the number of upstreams.
#include <benchmark/benchmark.h>

#include <string>

#include "base/hash.h"
#include "fake_random_source.h"
#include "systems/routing_system.h"

namespace hawthorndrum {
namespace {

constexpr std::int64_t kDataCentre = 224;
constexpr std::int64_t kWholeFleet = 4700;
constexpr int kModels = 6;
constexpr std::size_t kPieces = 4;

std::string ModelName(std::int64_t number) { return "model" + std::to_string(number % kModels); }

void Fill(upstream_table& upstreams, std::int64_t count) {
  for (std::int64_t i = 0; i < count; ++i) {
    upstream row;
    row.address = "e:" + std::to_string(i);
    row.id = UpstreamIdOf(row.address);
    row.data_centre = "here";
    row.has_report = true;
    row.report_time = time_point(seconds(10));
    row.report.models = {{ModelName(i), "1", {}}};
    row.report.running = 8;
    row.report.queued_prefill_tokens = static_cast<std::uint64_t>(i * 37 % 9000);
    row.report.prefill_tokens_per_second = 10000;
    row.report.decode_tokens_per_second = 1000;
    upstreams.Insert(row);
  }
}

request_row Request(std::uint64_t number) {
  service_config service;
  service.name = "chat";
  service.model = {ModelName(static_cast<std::int64_t>(number % kModels)), "1", ""};
  request_row request;
  request.service = std::make_shared<const service_config>(service);
  request.fingerprint = Hash64("request", number);
  request.prompt_tokens = 10000;
  request.max_tokens = 100;
  for (std::size_t i = 0; i < kPieces; ++i) request.prefix.push_back(Hash64("piece", i));
  return request;
}

void Choose(benchmark::State& state) {
  upstream_table upstreams;
  Fill(upstreams, state.range(0));
  fake_random_source random;
  routing_system routing(upstreams, random, "here");
  const time_point now(seconds(11));
  routing.Run(now);
  std::vector<request_row> requests;
  for (std::uint64_t i = 0; i < 1000; ++i) requests.push_back(Request(i));
  std::size_t next = 0;
  for (auto step : state) {
    benchmark::DoNotOptimize(routing.Choose(requests[next++ % requests.size()], now));
  }
}
BENCHMARK(Choose)->Arg(kDataCentre)->Arg(kWholeFleet);

/// Cost of a refresh that finds the set of upstreams unchanged.
void RefreshUnchanged(benchmark::State& state) {
  upstream_table upstreams;
  Fill(upstreams, state.range(0));
  upstream_index index(upstreams, "here");
  time_point now(seconds(11));
  index.Refresh(now);
  for (auto step : state) {
    now += upstream_index::kRefreshPeriod;
    index.Refresh(now);
  }
}
BENCHMARK(RefreshUnchanged)->Arg(kDataCentre)->Arg(kWholeFleet);

void Rebuild(benchmark::State& state) {
  upstream_table upstreams;
  Fill(upstreams, state.range(0));
  for (auto step : state) {
    upstream_index index(upstreams, "here");
    index.Refresh(time_point(seconds(11)));
  }
}
BENCHMARK(Rebuild)->Arg(kDataCentre)->Arg(kWholeFleet);

}  // namespace
}  // namespace hawthorndrum

BENCHMARK_MAIN();
