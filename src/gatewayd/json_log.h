/// The structured log on standard output, one JSON object a line.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/units.h"
#include "ports/event_log.h"

namespace spdlog {
class logger;
namespace details {
class thread_pool;
}
}  // namespace spdlog

namespace hawthorndrum {

class clock;
class metrics_registry;

/**
 * Writes lines from a separate thread. When standard output stalls, the oldest waiting lines are
 * dropped and no caller blocks. The lines of each event are limited per second; those left out are
 * counted in the metrics and in a `lines_left_out` line.
 */
class json_log : public event_log {
 public:
  json_log(const clock& time, metrics_registry& metrics, std::string host);
  ~json_log() override;

  void Write(log_importance importance, const log_record& record) override;
  /** Resets the limits once a second and reports the lines left out; call it at least as often. */
  void Run(time_point now);

 private:
  struct event_bound {
    std::uint32_t written = 0;
    std::uint64_t left_out = 0;
  };

  void WriteLine(const log_record& record);

  const clock& time_;
  metrics_registry& metrics_;
  std::string host_;
  std::map<std::string, event_bound, std::less<>> bounds_;
  time_point second_began_;
  std::uint64_t reported_overrun_ = 0;
  std::shared_ptr<spdlog::details::thread_pool> writer_;
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace hawthorndrum
