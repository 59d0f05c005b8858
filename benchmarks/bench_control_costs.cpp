/// Control-plane cost for one daemon: bytes, processor time and memory, by the number of daemons,
/// engines and data centres and by the rate at which the engines' load changes.
///
/// Runs the cores of all daemons in one process over in-memory links. Byte counts come from the
/// daemons' own counters, which estimate the headers of lower layers. Processor time is measured on
/// this thread around each daemon's control work; it excludes the kernel and websocketpp. Prints
/// one CSV line per setting. Arguments: daemons engines requests-per-engine-second [data centres];
/// without arguments, it runs a table of settings.
#include <cstdio>
#include <cstdlib>
#include <random>
#include <vector>

#include "fake_daemon_group.h"
#include "thread_cpu_clock.h"

namespace hawthorndrum {
namespace {

constexpr double kSecondsPerRequest = 9.0;
constexpr double kPrefillTokensPerRequest = 1500;
constexpr duration kWarmUp = seconds(90);
constexpr duration kMeasurementTime = seconds(60);

/** Varies the engines' load by simulating arrivals and completions of requests. */
class changing_load {
 public:
  explicit changing_load(double requests_per_second) : rate_(requests_per_second) {}

  void Step(fake_engines& engines, double passed) {
    for (auto& [id, report] : engines.reports) {
      std::poisson_distribution<std::uint32_t> arrivals(rate_ * passed);
      const std::uint32_t arrived = arrivals(random_);
      std::binomial_distribution<std::uint32_t> departures(report.running,
                                                           passed / kSecondsPerRequest);
      report.running += arrived;
      report.running -= std::min(report.running, departures(random_));
      report.queued_prefill_tokens = static_cast<std::uint64_t>(arrived * kPrefillTokensPerRequest);
      report.kv_used_bytes = std::min(report.kv_total_bytes, std::uint64_t{report.running} << 30);
    }
  }

 private:
  std::mt19937_64 random_{20261203};
  double rate_;
};

struct costs {
  double peer_bytes = 0;
  double poll_bytes = 0;
  double frames = 0;
  double entries = 0;
  double cpu_share = 0;
  std::size_t memory = 0;
};

double Sum(fake_daemon_group& group, const std::string& name, const std::string& labels = {}) {
  double sum = 0;
  for (std::size_t i = 0; i < group.size(); ++i) {
    sum += static_cast<double>(group.at(i).Count(name, labels));
  }
  return sum;
}

costs Totals(fake_daemon_group& group) {
  costs total;
  for (const char* direction : {"in", "out"}) {
    total.peer_bytes +=
        Sum(group, "hawthorndrum_peer_bytes_total", MetricLabel("direction", direction));
  }
  total.poll_bytes = Sum(group, "hawthorndrum_load_poll_bytes_total");
  total.frames = Sum(group, "hawthorndrum_peer_frames_total", MetricLabel("direction", "out"));
  total.entries = Sum(group, "hawthorndrum_load_entries_total", MetricLabel("kind", "change"));
  total.cpu_share = Sum(group, "hawthorndrum_control_cpu_microseconds_total") / 1e6;
  total.memory = static_cast<std::size_t>(
      Sum(group, "hawthorndrum_control_memory_bytes", MetricLabel("table", "all")));
  return total;
}

void Measure(int daemons, int engines, double rate, int centres) {
  const thread_cpu_clock cpu;
  fake_daemon_group group(1, cpu);
  for (int centre = 1; centre <= centres; ++centre) {
    for (int i = 0; i < daemons; ++i) {
      group.Start(DaemonAddress(static_cast<std::size_t>(i), centre),
                  "dc" + std::to_string(centre));
    }
  }
  group.Advance(seconds(10));
  group.ListEngines(engines);
  changing_load load(rate);
  const auto change = [&] { load.Step(group.engines, ToSeconds(fake_daemon_group::kTick)); };
  group.Advance(kWarmUp, change);
  const costs before = Totals(group);
  group.Advance(kMeasurementTime, change);
  const costs after = Totals(group);
  const double daemon_seconds = ToSeconds(kMeasurementTime) * daemons * centres;
  std::printf("%d,%d,%.2f,%d,%.0f,%.0f,%.0f,%.2f,%.2f,%.4f,%.0f\n", daemons, engines, rate, centres,
              (after.peer_bytes - before.peer_bytes) / daemon_seconds,
              (after.poll_bytes - before.poll_bytes) / daemon_seconds,
              (after.peer_bytes + after.poll_bytes - before.peer_bytes - before.poll_bytes) /
                  daemon_seconds,
              (after.frames - before.frames) / daemon_seconds,
              (after.entries - before.entries) / daemon_seconds,
              (after.cpu_share - before.cpu_share) / daemon_seconds * 100,
              static_cast<double>(after.memory) / daemons / centres);
  std::fflush(stdout);
}

void MeasureAll() {
  for (const int daemons : {1, 5, 10, 20, 40, 60}) Measure(daemons, 224, 0.72, 1);
  for (const int engines : {12, 56, 112, 224, 448}) Measure(20, engines, 0.72, 1);
  for (const double rate : {0.0, 0.2, 0.72, 2.0}) Measure(20, 224, rate, 1);
  for (const int centres : {1, 2, 4, 8}) Measure(6, 24, 0.72, centres);
}

}  // namespace
}  // namespace hawthorndrum

int main(int count, char** arguments) {
  std::puts(
      "daemons,engines,requests_per_engine_second,data_centres,peer_bytes_per_second,"
      "poll_bytes_per_second,bytes_per_second,frames_out_per_second,changes_per_second,"
      "cpu_percent,memory_bytes");
  if (count < 4) {
    hawthorndrum::MeasureAll();
    return 0;
  }
  const int centres = count > 4 ? std::atoi(arguments[4]) : 1;
  hawthorndrum::Measure(std::atoi(arguments[1]), std::atoi(arguments[2]), std::atof(arguments[3]),
                        centres);
  return 0;
}
