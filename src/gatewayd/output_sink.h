/// Writes log lines to a file descriptor without standard I/O's buffer.
#pragma once

#include <spdlog/sinks/base_sink.h>

#include <mutex>
#include <string_view>

namespace hawthorndrum {

/**
 * May block for as long as nobody reads, on the log's thread only. The buffer and lock of stdout
 * would also make exit wait. Lines that can't be written at all are lost.
 */
class output_sink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  explicit output_sink(int descriptor) : descriptor_(descriptor) {}

 private:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}

  int descriptor_;
};

}  // namespace hawthorndrum
