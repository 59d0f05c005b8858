/// Totals and rates of the cost of control work.
#include "systems/control_budget.h"

namespace hawthorndrum {

namespace {

constexpr duration kReportInterval = seconds(1);

counter& BudgetGauge(metrics_registry& metrics, std::string_view resource) {
  return metrics.Counter("hawthorndrum_control_budget_permille", MetricLabel("resource", resource));
}

}  // namespace

control_budget::control_budget(const cpu_clock& cpu, metrics_registry& metrics)
    : cpu_(cpu),
      metrics_(metrics),
      cpu_total_(metrics.Counter("hawthorndrum_control_cpu_microseconds_total")),
      memory_total_(
          metrics.Counter("hawthorndrum_control_memory_bytes", MetricLabel("table", "all"))),
      bytes_total_(metrics.Counter("hawthorndrum_control_bytes_total")),
      cpu_share_(BudgetGauge(metrics, "cpu")),
      memory_share_(BudgetGauge(metrics, "memory")),
      bytes_share_(BudgetGauge(metrics, "bytes")) {}

void control_budget::AddMemory(std::string_view table, std::function<std::size_t()> bytes) {
  counter& gauge =
      metrics_.Counter("hawthorndrum_control_memory_bytes", MetricLabel("table", table));
  memory_.push_back({std::move(bytes), &gauge});
}

void control_budget::Begin() {
  if (depth_++ == 0) started_at_ = cpu_.ThreadNanoseconds();
}

void control_budget::End() {
  if (--depth_ == 0) cpu_nanoseconds_ += cpu_.ThreadNanoseconds() - started_at_;
}

void control_budget::CountMemory() {
  std::uint64_t sum = 0;
  for (const memory_part& part : memory_) {
    const std::size_t bytes = part.bytes();
    part.gauge->Set(bytes);
    sum += bytes;
  }
  memory_total_.Set(sum);
  memory_share_.Set(sum * 1000 / kMemoryBudgetBytes);
}

void control_budget::CountRates(time_point now) {
  std::uint64_t bytes = 0;
  for (const counter* part : byte_counters_) bytes += part->value();
  const double passed = ToSeconds(now - last_run_);
  const double cpu = static_cast<double>(cpu_nanoseconds_ - last_cpu_nanoseconds_) / 1e9 / passed;
  const double rate = static_cast<double>(bytes - last_bytes_) / passed;
  cpu_total_.Set(cpu_nanoseconds_ / 1000);
  bytes_total_.Set(bytes);
  cpu_share_.Set(static_cast<std::uint64_t>(cpu / kCpuBudgetShare * 1000));
  bytes_share_.Set(static_cast<std::uint64_t>(rate / kByteBudgetPerSecond * 1000));
  last_cpu_nanoseconds_ = cpu_nanoseconds_;
  last_bytes_ = bytes;
}

void control_budget::Run(time_point now) {
  if (now - last_run_ < kReportInterval) return;
  CountMemory();
  CountRates(now);
  last_run_ = now;
}

}  // namespace hawthorndrum
