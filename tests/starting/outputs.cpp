/// Tests of a gateway whose standard output is not read, or closed.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <array>
#include <string>

#include "gateway_process.h"

namespace hawthorndrum {
namespace {

/** Standard output of the process is a pipe of which the test has both ends. */
class OutputTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_EQ(pipe2(ends.data(), O_CLOEXEC), 0); }
  void TearDown() override {
    for (const int end : ends) close(end);
  }
  void FillPipe() const {
    const int flags = fcntl(ends[1], F_GETFL);
    fcntl(ends[1], F_SETFL, flags | O_NONBLOCK);
    const std::string bytes(4096, '\n');
    while (write(ends[1], bytes.data(), bytes.size()) > 0) continue;
    fcntl(ends[1], F_SETFL, flags);
  }
  void ExpectToServeAndStop() {
    gateway.WriteSettings();
    gateway.Start(ends[1]);
    EXPECT_TRUE(WaitFor([&] { return gateway.serves(); }));
    gateway.Signal(SIGTERM);
    EXPECT_EQ(gateway.Wait(), 0);
  }

  std::array<int, 2> ends{};
  gateway_process gateway;
};

// Guards against a process that does not end until its log is read.
TEST_F(OutputTest, AFullPipeKeepsNothingFromEnding) {
  FillPipe();
  ExpectToServeAndStop();
}

// Guards against a start that fails and does not end, and a SIGHUP that stops all work.
TEST_F(OutputTest, MessagesOnAFullPipeAreGivenUp) {
  FillPipe();
  gateway.WriteSettings({{"callers", "192.0.2.1:8080"}});
  gateway.Start(ends[1]);
  EXPECT_EQ(gateway.Wait(), 1);
}

TEST_F(OutputTest, InvalidSettingsAtAHangupStopNoWork) {
  FillPipe();
  gateway.WriteSettings();
  gateway.Start(ends[1]);
  ASSERT_TRUE(WaitFor([&] { return gateway.serves(); }));
  gateway.WriteSettings({{"stop_grace", "never"}});
  gateway.Signal(SIGHUP);
  gateway.Signal(SIGTERM);
  EXPECT_EQ(gateway.Wait(), 0);
}

TEST_F(OutputTest, AFatalSignalEndsTheProcess) {
  FillPipe();
  gateway.WriteSettings();
  gateway.Start(ends[1]);
  ASSERT_TRUE(WaitFor([&] { return gateway.serves(); }));
  gateway.Signal(SIGSEGV);
  EXPECT_EQ(gateway.Wait(), -SIGSEGV);
}

TEST_F(OutputTest, APipeWithoutAReaderChangesNothing) {
  close(ends[0]);
  ends[0] = -1;
  ExpectToServeAndStop();
}

}  // namespace
}  // namespace hawthorndrum
