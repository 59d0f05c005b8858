/// CPU time, memory and network bytes that a daemon spends on control work, against its budget.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/metrics_registry.h"
#include "ports/cpu_clock.h"
#include "systems/system.h"

namespace hawthorndrum {

/** Budget of control work per daemon: share of one CPU, memory, bytes per second. */
constexpr double kCpuBudgetShare = 0.026;
constexpr std::uint64_t kMemoryBudgetBytes = 64ULL * 1024 * 1024;
constexpr double kByteBudgetPerSecond = 11 * 1024;

/**
 * Adds up the cost of control work and publishes it as metrics once a second, each also in
 * thousandths of its budget.
 */
class control_budget : public system {
 public:
  control_budget(const cpu_clock& cpu, metrics_registry& metrics);

  /** Adds the memory of a table to the total. */
  void AddMemory(std::string_view table, std::function<std::size_t()> bytes);
  /** Adds a counter of bytes on the wire to the total. */
  void AddBytes(const counter& bytes) { byte_counters_.push_back(&bytes); }

  /** Start and stop measuring control work; nested measurements count once. */
  void Begin();
  void End();

  void Run(time_point now) override;

 private:
  struct memory_part {
    std::function<std::size_t()> bytes;
    counter* gauge = nullptr;
  };

  void CountMemory();
  void CountRates(time_point now);

  const cpu_clock& cpu_;
  metrics_registry& metrics_;
  counter& cpu_total_;
  counter& memory_total_;
  counter& bytes_total_;
  counter& cpu_share_;
  counter& memory_share_;
  counter& bytes_share_;
  std::vector<memory_part> memory_;
  std::vector<const counter*> byte_counters_;
  int depth_ = 0;
  std::uint64_t started_at_ = 0;
  std::uint64_t cpu_nanoseconds_ = 0;
  std::uint64_t last_cpu_nanoseconds_ = 0;
  std::uint64_t last_bytes_ = 0;
  time_point last_run_;
};

/** Counts the CPU time of its lifetime as control work. */
class control_work {
 public:
  explicit control_work(control_budget& budget) : budget_(budget) { budget_.Begin(); }
  ~control_work() { budget_.End(); }
  control_work(const control_work&) = delete;
  control_work& operator=(const control_work&) = delete;

 private:
  control_budget& budget_;
};

}  // namespace hawthorndrum
