/// Tests of a planned stop of a whole gateway daemon, over real connections.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/gateway_config.h"
#include "gateway/gateway_settings.h"
#include "gateway_daemon.h"
#include "platform_dialect.h"

namespace hawthorndrum {
namespace {

using boost::asio::ip::tcp;

constexpr auto kWaitTimeout = std::chrono::seconds(20);

/** The test is the callers and the upstream, which takes requests and does not answer. */
class StoppingTest : public testing::Test {
 protected:
  StoppingTest() : upstream(io, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    settings.host = "g1";
    settings.data_centre = "north";
    settings.callers_address = FreeAddress();
    settings.readiness_address = FreeAddress();
    settings.notices_address = FreeAddress();
    settings.store_address = "127.0.0.1:9";
    settings.stop_grace = seconds(2);
    served = std::make_unique<gateway_daemon>(io, settings, dialect);
    const auto started = served->Start();
    EXPECT_TRUE(started.has_value());
    Configure();
  }
  std::string FreeAddress() {
    tcp::acceptor free(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(free.local_endpoint().port());
  }
  void Configure() {
    auto config = std::make_shared<gateway_config>();
    config->version = 1;
    route pay;
    pay.name = "pay";
    pay.host = "shop.example";
    pay.path_prefix = "/pay/";
    pay.kind = route_kind::kUnsafe;
    pay.timeout = seconds(60);
    pay.targets = {{"desk", 1}};
    config->routes = {pay};
    gateway_service desk;
    desk.name = "desk";
    config->services = {desk};
    config->Index();
    served->served().SetConfig(config);
    upstream_entry entry;
    entry.id = "w1";
    entry.service = "desk";
    entry.address = "127.0.0.1:" + std::to_string(upstream.local_endpoint().port());
    entry.data_centre = "north";
    entry.slots = 6;
    served->served().fleet().Put(entry);
    served->served().SetFleetKnown();
  }
  /** Runs the loop until the condition holds or the daemon has stopped. */
  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!done() && !io.stopped() && std::chrono::steady_clock::now() < end)
      io.run_one_for(std::chrono::milliseconds(5));
    return done();
  }
  tcp::socket Connect() {
    const std::string& address = settings.callers_address;
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    return socket;
  }
  static void Write(tcp::socket& socket, const std::string& bytes) {
    boost::asio::write(socket, boost::asio::buffer(bytes));
  }
  /** Reads what the daemon sent before it ended. */
  static std::string ReadAll(tcp::socket& socket) {
    socket.non_blocking(true);
    std::string text;
    boost::system::error_code failed;
    while (!failed) {
      char bytes[4096];
      text.append(bytes, socket.read_some(boost::asio::buffer(bytes), failed));
    }
    return text;
  }
  tcp::socket AcceptUpstream() {
    std::optional<tcp::socket> taken;
    upstream.async_accept([&](boost::system::error_code failed, tcp::socket socket) {
      if (!failed) taken.emplace(std::move(socket));
    });
    EXPECT_TRUE(RunUntil([&] { return taken.has_value(); }));
    return std::move(*taken);
  }
  /** Returns what arrived on connections that were not accepted before; probes send nothing. */
  std::string SentUpstream() {
    std::string text;
    boost::system::error_code failed;
    upstream.non_blocking(true);
    for (;;) {
      tcp::socket passed_on(io);
      upstream.accept(passed_on, failed);
      if (failed) return text;
      text += ReadAll(passed_on);
    }
  }
  static std::string Request(const std::string& id) {
    return "POST /pay/x HTTP/1.1\r\nHost: shop.example\r\nX-Hawthorndrum-Request-Id: " + id +
           "\r\nContent-Length: 4\r\n\r\nbody";
  }

  boost::asio::io_context io;
  platform_dialect dialect;
  gateway_settings settings;
  tcp::acceptor upstream;
  std::unique_ptr<gateway_daemon> served;
};

// Guards against requests that are cut without an answer at the end of the grace.
TEST_F(StoppingTest, ARequestThatIsStillRunningAtTheEndIsAnswered) {
  tcp::socket caller = Connect();
  Write(caller, Request("1"));
  const tcp::socket running = AcceptUpstream();
  served->BeginStop();
  RunUntil([] { return false; });
  ASSERT_TRUE(io.stopped());
  EXPECT_EQ(ReadAll(caller).substr(0, 12), "HTTP/1.1 502");
}

// Guards against a request that is passed on late in the grace: its last bytes came late.
TEST_F(StoppingTest, ARequestWhoseLastBytesComeLateIsRefusedAndNotPassedOn) {
  tcp::socket caller = Connect();
  tcp::socket slow = Connect();
  tcp::socket idle = Connect();
  idle.non_blocking(true);
  const std::string request = Request("2");
  Write(slow, request.substr(0, request.size() - 1));
  Write(caller, Request("1"));
  const tcp::socket running = AcceptUpstream();
  served->BeginStop();
  // Idle connections are closed together with the port.
  ASSERT_TRUE(RunUntil([&] {
    char byte = 0;
    boost::system::error_code failed;
    idle.read_some(boost::asio::buffer(&byte, 1), failed);
    return failed == boost::asio::error::eof;
  }));
  Write(slow, "y");
  RunUntil([] { return false; });
  ASSERT_TRUE(io.stopped());
  EXPECT_EQ(ReadAll(slow).substr(0, 12), "HTTP/1.1 503");
  EXPECT_EQ(SentUpstream(), "");
}

}  // namespace
}  // namespace hawthorndrum
