/// The structured log on standard output.
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
 * Writes one JSON object a line from a thread of its own. When standard output stalls, the oldest
 * lines give way; nothing waits for it. Each event has a bound on its lines a second; what was left
 * out is counted, in the metrics and in a `lines_left_out` line.
 */
class json_log : public event_log {
 public:
  json_log(const clock& time, metrics_registry& metrics, std::string host);
  ~json_log() override;

  void Write(log_importance importance, const log_record& record) override;
  /** Tells what was left out since the last call; call it every second or so. */
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
  std::uint64_t overrun_told_ = 0;
  std::shared_ptr<spdlog::details::thread_pool> writer_;
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace hawthorndrum
