/// Writes log lines through spdlog's asynchronous queue.
#include "json_log.h"

#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <future>
#include <system_error>
#include <thread>
#include <utility>

#include "base/log_record.h"
#include "base/metrics_registry.h"
#include "output_sink.h"
#include "ports/clock.h"

namespace hawthorndrum {

namespace {

/** Lines that may wait for standard output; beyond that the oldest are dropped. */
constexpr std::size_t kMaxQueuedLines = 256;
/** How long the end of the process waits for lines that are still queued. */
constexpr std::chrono::milliseconds kLastLines{200};
/** Limits on each event's lines a second, by importance, so that a person can read the log. */
constexpr std::uint32_t kRoutineLines = 40;
constexpr std::uint32_t kNotableLines = 100;
constexpr std::uint32_t kImportantLines = 200;

std::uint32_t MaxLinesPerSecond(log_importance importance) {
  switch (importance) {
    case log_importance::kRoutine:
      return kRoutineLines;
    case log_importance::kNotable:
      return kNotableLines;
    case log_importance::kImportant:
      return kImportantLines;
  }
  return kRoutineLines;
}

}  // namespace

json_log::json_log(const clock& time, metrics_registry& metrics, std::string host)
    : time_(time),
      metrics_(metrics),
      host_(std::move(host)),
      second_began_(time.Now()),
      writer_(std::make_shared<spdlog::details::thread_pool>(kMaxQueuedLines, 1)),
      logger_(std::make_shared<spdlog::async_logger>(
          "json", std::make_shared<output_sink>(STDOUT_FILENO), writer_,
          spdlog::async_overflow_policy::overrun_oldest)) {
  logger_->set_pattern("%v");
  logger_->flush_on(spdlog::level::warn);
}

json_log::~json_log() {
  // The destructor of the pool waits for its thread, which may be blocked for as long as nobody
  // reads standard output; the end of the process does not wait for either thread.
  std::promise<void> written;
  const std::future<void> all_written = written.get_future();
  auto* writer = new auto(std::move(writer_));
  auto* logger = new auto(std::move(logger_));
  try {
    std::thread([writer, logger, written = std::move(written)]() mutable {
      delete logger;
      delete writer;
      written.set_value();
    }).detach();
    all_written.wait_for(kLastLines);
  } catch (const std::system_error&) {
    // Without a thread to wait for it, the writer goes on until the process has ended.
  }
}

void json_log::Write(log_importance importance, const log_record& record) {
  auto found = bounds_.find(record.event());
  if (found == bounds_.end()) found = bounds_.emplace(record.event(), event_bound()).first;
  event_bound& bound = found->second;
  if (bound.written >= MaxLinesPerSecond(importance)) {
    bound.left_out += 1;
    return;
  }
  bound.written += 1;
  WriteLine(record);
}

void json_log::WriteLine(const log_record& record) {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const double at = std::chrono::duration<double>(wall).count();
  char head[64];
  std::snprintf(head, sizeof(head), "{\"at\":%.3f,\"mono_ms\":%lld,", at,
                static_cast<long long>(ToMilliseconds(time_.Now().time_since_epoch())));
  std::string line = head;
  line += "\"host\":\"" + host_ + "\",";
  line.append(record.ToLine(), 1, std::string::npos);
  logger_->log(spdlog::level::warn, line);
}

void json_log::Run(time_point now) {
  if (now - second_began_ < seconds(1)) return;
  second_began_ = now;
  for (auto& [event, bound] : bounds_) {
    bound.written = 0;
    if (bound.left_out == 0) continue;
    metrics_.Counter("log_lines_left_out_total", MetricLabel("event", event)).Add(bound.left_out);
    WriteLine(log_record("lines_left_out")
                  .Text("of", event)
                  .Number("count", static_cast<std::int64_t>(bound.left_out)));
    bound.left_out = 0;
  }
  const std::uint64_t overrun = writer_->overrun_counter();
  if (overrun == reported_overrun_) return;
  metrics_.Counter("log_lines_overrun_total").Add(overrun - reported_overrun_);
  reported_overrun_ = overrun;
}

}  // namespace hawthorndrum
