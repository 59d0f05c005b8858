/// Tests of starts and ends of whole gateway processes: signals during the start and the end.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>
#include <iterator>
#include <string>

#include "gateway_process.h"

namespace hawthorndrum {
namespace {

/** The settings are a named pipe, so that the process waits for them before anything else. */
class StartingSignalsTest : public testing::Test {
 protected:
  /** Sends the signal while the process waits, then writes the settings. */
  static void StartAndSignal(gateway_process& gateway, int signal) {
    gateway.WriteSettings();
    std::ifstream file(gateway.settings());
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    unlink(gateway.settings().c_str());
    ASSERT_EQ(mkfifo(gateway.settings().c_str(), 0600), 0);
    gateway.Start();
    int pipe = -1;
    // Succeeds once the process has opened its end.
    ASSERT_TRUE(WaitFor([&] {
      pipe = open(gateway.settings().c_str(), O_WRONLY | O_NONBLOCK);
      return pipe >= 0;
    }));
    gateway.Signal(signal);
    // A later read of the settings finds a file.
    gateway.WriteSettings();
    EXPECT_EQ(write(pipe, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    close(pipe);
  }

  gateway_process gateway;
};

class StartingStopsTest : public StartingSignalsTest, public testing::WithParamInterface<int> {};

// Guards against a start that SIGHUP ends, or that forgets it.
TEST_F(StartingSignalsTest, HangupIsHandledOnceItServes) {
  StartAndSignal(gateway, SIGHUP);
  EXPECT_TRUE(WaitFor([&] { return gateway.serves() || !gateway.running(); }));
  EXPECT_TRUE(WaitFor([&] { return gateway.logged("reloaded") || !gateway.running(); }));
  gateway.Signal(SIGTERM);
  EXPECT_EQ(gateway.Wait(), 0) << gateway.log();
  EXPECT_TRUE(gateway.logged("reloaded"));
}

// Guards against a start that the signal ends at once.
TEST_P(StartingStopsTest, AStopIsOrderlyAndLogged) {
  StartAndSignal(gateway, GetParam());
  EXPECT_EQ(gateway.Wait(), 0) << gateway.log();
  EXPECT_TRUE(gateway.logged("stopping") && gateway.logged("stopped")) << gateway.log();
}

TEST_P(StartingStopsTest, AStopOfHawthorndrumdIsOrderlyAndLogged) {
  gateway_process daemon("hawthorndrumd");
  daemon.UseSettings({{"data_centre", "north"},
                      {"region", "midlands"},
                      {"callers", daemon.FreeAddress("callers")},
                      {"peers", daemon.FreeAddress("notices")},
                      {"admin", daemon.FreeAddress("readiness")},
                      {"object_api", "127.0.0.1:9"},
                      {"host_list", "127.0.0.1:9"},
                      {"admin_token", "starting-admin-token"},
                      {"peer_key", "starting-peer-key-12345"},
                      {"stop_grace", "200ms"}});
  StartAndSignal(daemon, GetParam());
  EXPECT_EQ(daemon.Wait(), 0) << daemon.log();
  EXPECT_NE(daemon.log().find("stopping: "), std::string::npos) << daemon.log();
}

INSTANTIATE_TEST_SUITE_P(Signals, StartingStopsTest, testing::Values(SIGTERM, SIGINT));

// Guards against an end by the default action once the handlers are gone.
TEST(Ending, SignalsUntilTheEndChangeNothing) {
  for (const int signal : {SIGTERM, SIGHUP}) {
    gateway_process gateway;
    gateway.WriteSettings({{"stop_grace", "400ms"}});
    gateway.Start();
    ASSERT_TRUE(WaitFor([&] { return gateway.serves(); })) << gateway.log();
    gateway.Signal(SIGTERM);
    // An endless flood would keep a process from stopping; only what follows the stop counts here.
    while (gateway.running() && !gateway.logged("stopped")) continue;
    while (gateway.running()) gateway.Signal(signal);
    EXPECT_EQ(gateway.Wait(), 0) << gateway.log();
  }
}

}  // namespace
}  // namespace hawthorndrum
