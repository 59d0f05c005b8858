/// Tests the structured log: the limit on lines, and a stalled reader of standard output.
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>

#include "base/log_record.h"
#include "base/metrics_registry.h"
#include "fake_clock.h"
#include "json_log.h"

namespace hawthorndrum {
namespace {

/** Redirects standard output to a pipe that is read only in ReadToTheEnd. */
class JsonLogTest : public testing::Test {
 protected:
  void SetUp() override {
    std::fflush(stdout);
    stdout_ = dup(STDOUT_FILENO);
    ASSERT_EQ(pipe(ends_.data()), 0);
    dup2(ends_[1], STDOUT_FILENO);
    close(ends_[1]);
  }
  void TearDown() override { Restore(); }

  /** Restores standard output, which closes the pipe's write end. */
  void Restore() {
    if (stdout_ < 0) return;
    std::fflush(stdout);
    dup2(stdout_, STDOUT_FILENO);
    close(stdout_);
    stdout_ = -1;
  }
  /** Destroys the log and returns all that was written to the pipe. */
  std::string ReadToTheEnd(std::unique_ptr<json_log> log) {
    std::string read;
    std::thread reader([&] {
      std::array<char, 4096> bytes{};
      for (ssize_t got = 1; got > 0;) {
        got = ::read(ends_[0], bytes.data(), bytes.size());
        if (got > 0) read.append(bytes.data(), static_cast<std::size_t>(got));
      }
    });
    log.reset();
    Restore();
    reader.join();
    close(ends_[0]);
    return read;
  }
  static std::size_t CountOf(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
      ++count;
    }
    return count;
  }
  void Write(json_log& log, const std::string& event, int lines) {
    for (int i = 0; i < lines; ++i) {
      log.Write(log_importance::kRoutine, log_record(event).Number("line", i));
    }
  }

  fake_clock clock;
  metrics_registry metrics;
  std::unique_ptr<json_log> log = std::make_unique<json_log>(clock, metrics, "host-1");

 private:
  int stdout_ = -1;
  std::array<int, 2> ends_{};
};

// Writes more than the pipe and the queue can hold. A call that waited for the reader would block
// the test for ever.
TEST_F(JsonLogTest, AStalledReaderBlocksNothingAndIsCounted) {
  constexpr int kEvents = 200;
  for (int event = 0; event < kEvents; ++event) Write(*log, "event" + std::to_string(event), 30);
  clock.Advance(seconds(1));
  log->Run(clock.Now());
  const std::string page = metrics.ToText();
  EXPECT_NE(page.find("log_lines_overrun_total"), std::string::npos);
  const std::string read = ReadToTheEnd(std::move(log));
  // The newest lines are kept.
  EXPECT_NE(read.find("event199"), std::string::npos);
}

TEST_F(JsonLogTest, LinesOfAnEventAreBoundedASecondAndTheRestCounted) {
  Write(*log, "busy", 200);
  Write(*log, "other", 1);
  clock.Advance(seconds(1));
  log->Run(clock.Now());
  Write(*log, "busy", 1);
  const std::string read = ReadToTheEnd(std::move(log));
  EXPECT_EQ(CountOf(read, "\"event\":\"busy\""), 41u);
  EXPECT_EQ(CountOf(read, "\"event\":\"other\""), 1u);
  EXPECT_NE(read.find("\"of\":\"busy\",\"count\":160"), std::string::npos);
  EXPECT_EQ(CountOf(read, "\"host\":\"host-1\""), CountOf(read, "\n"));
}

}  // namespace
}  // namespace hawthorndrum
