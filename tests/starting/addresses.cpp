/// Tests of a start whose addresses are held by others.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gateway_process.h"
#include "port_opener.h"

namespace hawthorndrum {
namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

struct held_address {
  const char* key;
  bool is_udp;
};

class HeldAddressTest : public testing::TestWithParam<held_address> {
 protected:
  void Hold() {
    gateway.WriteSettings();
    const tcp::endpoint own = gateway.Address(GetParam().key);
    if (GetParam().is_udp) {
      datagrams.emplace(io, udp::endpoint(own.address(), own.port()));
    } else {
      connections.emplace(io, own);
    }
    // The process must not inherit what holds its address.
    const int held = datagrams ? datagrams->native_handle() : connections->native_handle();
    ASSERT_EQ(fcntl(held, F_SETFD, FD_CLOEXEC), 0);
    gateway.Start();
    ASSERT_TRUE(WaitFor([&] { return gateway.logged("start_waits") || !gateway.running(); }));
    ASSERT_TRUE(gateway.running()) << gateway.log();
    // Held by the test or not listened to: nothing answers.
    EXPECT_FALSE(gateway.logged("started"));
  }
  bool Accepts(const std::string& key) {
    tcp::socket socket(io);
    boost::system::error_code failed;
    socket.connect(gateway.Address(key), failed);
    return !failed;
  }

  boost::asio::io_context io;
  std::optional<tcp::acceptor> connections;
  std::optional<udp::socket> datagrams;
  gateway_process gateway;
};

// Guards against a start that fails since a former process still holds an address.
TEST_P(HeldAddressTest, ItServesOnceTheAddressIsFree) {
  Hold();
  for (const char* key : {"callers", "readiness", "notices"}) {
    const bool ours = !GetParam().is_udp && GetParam().key == std::string(key);
    EXPECT_EQ(Accepts(key), ours) << key;
  }
  connections.reset();
  datagrams.reset();
  EXPECT_TRUE(WaitFor([&] { return gateway.serves(); })) << gateway.log();
  gateway.Signal(SIGTERM);
  EXPECT_EQ(gateway.Wait(), 0);
}

TEST_P(HeldAddressTest, ItFailsClearlyIfTheAddressStaysHeld) {
  Hold();
  EXPECT_EQ(gateway.Wait(), 1) << gateway.log();
  EXPECT_TRUE(gateway.logged("start_failed"));
  EXPECT_NE(gateway.log().find("Address already in use"), std::string::npos);
}

// Guards against a stop that is heeded only once the addresses are free.
TEST_P(HeldAddressTest, AStopEndsTheWait) {
  Hold();
  gateway.Signal(SIGTERM);
  EXPECT_EQ(gateway.Wait(), 0) << gateway.log();
  EXPECT_TRUE(gateway.logged("stopped"));
}

INSTANTIATE_TEST_SUITE_P(Sockets, HeldAddressTest,
                         testing::Values(held_address{"callers", false},
                                         held_address{"notices", false},
                                         held_address{"notices", true},
                                         held_address{"readiness", false}));

// Guards against a start that fails for the sake of its metrics.
TEST(HeldMetrics, EverythingElseIsServedAndMetricsLater) {
  boost::asio::io_context io;
  gateway_process gateway;
  gateway.WriteSettings();
  std::optional<tcp::acceptor> held(std::in_place, io, gateway.Address("metrics"));
  ASSERT_EQ(fcntl(held->native_handle(), F_SETFD, FD_CLOEXEC), 0);
  gateway.Start();
  ASSERT_TRUE(WaitFor([&] { return gateway.serves() || !gateway.running(); }));
  EXPECT_TRUE(WaitFor([&] { return gateway.logged("metrics_unavailable"); })) << gateway.log();
  held.reset();
  EXPECT_TRUE(WaitFor([&] {
    tcp::socket socket(io);
    boost::system::error_code failed;
    socket.connect(gateway.Address("metrics"), failed);
    return !failed;
  }));
  EXPECT_FALSE(gateway.logged("start_waits"));
  gateway.Signal(SIGTERM);
  EXPECT_EQ(gateway.Wait(), 0);
}

TEST(ForeignAddress, AnAddressOfAnotherHostFailsAtOnce) {
  gateway_process gateway;
  gateway.WriteSettings({{"callers", "192.0.2.1:8080"}});
  gateway.Start();
  EXPECT_EQ(gateway.Wait(), 1);
  EXPECT_TRUE(gateway.logged("start_failed")) << gateway.log();
  EXPECT_FALSE(gateway.logged("start_waits"));
}

/** Two ports whose outcomes the test sets; records the calls. */
class PortOpenerTest : public testing::Test {
 protected:
  PortOpenerTest() {
    for (const std::string name : {"a", "b"}) {
      opener.Add([this, name] { return Outcome("bind " + name); },
                 [this, name] { return Outcome("listen " + name); });
    }
  }
  expected<void> Outcome(const std::string& call) {
    calls.push_back(call);
    if (call != failing) return {};
    return tl::make_unexpected(error{code, call});
  }
  port_opener::state AttemptAt(int ms) {
    calls.clear();
    return opener.Attempt(time_point(milliseconds(ms)));
  }

  using list = std::vector<std::string>;
  port_opener opener{milliseconds(1000)};
  std::string failing;
  error_code code = error_code::kAddressInUse;
  list calls;
};

TEST_F(PortOpenerTest, NothingListensBeforeAllIsBound) {
  failing = "bind a";
  EXPECT_EQ(AttemptAt(0), port_opener::state::kWaiting);
  EXPECT_EQ(calls, (list{"bind a", "bind b"}));
  failing = "";
  EXPECT_EQ(AttemptAt(100), port_opener::state::kOpen);
  EXPECT_EQ(calls, (list{"bind a", "listen a", "listen b"}));
}

TEST_F(PortOpenerTest, APortThatIsTakenBetweenBindAndListenIsBoundAgain) {
  failing = "listen b";
  EXPECT_EQ(AttemptAt(0), port_opener::state::kWaiting);
  failing = "";
  EXPECT_EQ(AttemptAt(100), port_opener::state::kOpen);
  EXPECT_EQ(calls, (list{"bind b", "listen b"}));
}

TEST_F(PortOpenerTest, ItGivesUpAfterItsPatienceAndAtOnceForOtherErrors) {
  failing = "bind b";
  EXPECT_EQ(AttemptAt(0), port_opener::state::kWaiting);
  EXPECT_EQ(AttemptAt(999), port_opener::state::kWaiting);
  EXPECT_EQ(AttemptAt(1000), port_opener::state::kFailed);
  EXPECT_EQ(opener.problem().message, "bind b");
  code = error_code::kUnavailable;
  EXPECT_EQ(AttemptAt(10), port_opener::state::kFailed);
}

}  // namespace
}  // namespace hawthorndrum
