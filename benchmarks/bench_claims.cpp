/// Cost of committing a bucket (encoding, decoding, applying one claim) by bucket size.
#include <benchmark/benchmark.h>

#include "systems/claim_change.h"

namespace hawthorndrum {
namespace {

claim_record Record(std::uint64_t number) {
  claim_record record;
  record.name = {"pay", "order-" + std::to_string(number)};
  record.attempt = attempt_id(number + 1);
  record.digest = number;
  record.claimant = peer_id(7);
  record.incarnation = incarnation_id(8);
  record.state = claim_state::kDone;
  record.answer = {200, {{"content-type", "application/json"}}, "{\"paid\":true}"};
  return record;
}

claim_bucket Bucket(std::int64_t records) {
  claim_bucket bucket;
  for (std::int64_t i = 0; i < records; ++i) {
    const claim_record record = Record(static_cast<std::uint64_t>(i));
    bucket.records[record.name] = record;
  }
  return bucket;
}

void EncodeOne(benchmark::State& state) {
  const claim_bucket bucket = Bucket(state.range(0));
  std::size_t bytes = 0;
  for (auto _ : state) {
    const std::string value = EncodeBucket(bucket);
    bytes = value.size();
    benchmark::DoNotOptimize(bytes);
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(EncodeOne)->Arg(20)->Arg(160)->Arg(3000);

void DecodeOne(benchmark::State& state) {
  const std::string value = EncodeBucket(Bucket(state.range(0)));
  for (auto _ : state) {
    auto bucket = DecodeBucket(value);
    benchmark::DoNotOptimize(bucket);
  }
}
BENCHMARK(DecodeOne)->Arg(20)->Arg(160)->Arg(3000);

void CommitOne(benchmark::State& state) {
  const claim_bucket bucket = Bucket(state.range(0));
  claim_change change;
  change.record = Record(1000000);
  change.record.state = claim_state::kClaimed;
  for (auto _ : state) {
    claim_bucket next = bucket;
    std::size_t size = StoredSize(next);
    ApplyChange(next, size, change, claim_bucket_limits());
    const std::string value = EncodeBucket(next);
    benchmark::DoNotOptimize(value.data());
  }
}
BENCHMARK(CommitOne)->Arg(20)->Arg(160)->Arg(3000);

}  // namespace
}  // namespace hawthorndrum

BENCHMARK_MAIN();
