/// The websocket transport on loopback sockets.
#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include "base/hash.h"
#include "fake_random_source.h"
#include "peer_link_server.h"
#include "systems/peer_router.h"

namespace hawthorndrum {
namespace {

/** Timeout far above the time that any step takes. */
constexpr auto kTimeout = std::chrono::seconds(30);

struct steady_clock_port : clock {
  time_point Now() const override {
    return time_point(
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
  }
};

struct message_counter : peer_listener {
  void OnPeerMessage(peer_id, const peer_message& message) override {
    ++count;
    bytes += message.body.size();
  }
  int count = 0;
  std::size_t bytes = 0;
};

/** Forwards events to the router, which is created once the port is known. */
struct forwarding_listener : peer_transport_listener {
  void OnLinkUp(peer_link_id link, bool dialled) override { target->OnLinkUp(link, dialled); }
  void OnLinkFrame(peer_link_id link, boost::span<const std::uint8_t> frame) override {
    target->OnLinkFrame(link, frame);
  }
  void OnLinkDown(peer_link_id link) override { target->OnLinkDown(link); }
  peer_router* target = nullptr;
};

struct loopback_node {
  explicit loopback_node(boost::asio::io_context& io, std::uint64_t seed)
      : random(seed), server(io) {
    started = server.Start("127.0.0.1:0", listener).has_value();
    address = "127.0.0.1:" + std::to_string(server.port());
    peer_router_settings settings;
    settings.self = {PeerIdOf(address), incarnation_id(seed), address, "dc", "region"};
    settings.key = "key";
    router = std::make_unique<peer_router>(settings, server, time, random, metrics);
    listener.target = router.get();
    router->Register(peer_topic::kConfigPart, received);
  }

  steady_clock_port time;
  metrics_registry metrics;
  fake_random_source random;
  forwarding_listener listener;
  peer_link_server server;
  std::string address;
  std::unique_ptr<peer_router> router;
  message_counter received;
  bool started = false;
};

struct loopback : testing::Test {
  ~loopback() override {
    a.server.Stop();
    b.server.Stop();
    io.restart();
    io.run_for(std::chrono::milliseconds(1));
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + kTimeout;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) return false;
      io.restart();
      io.run_one_for(std::chrono::milliseconds(10));
    }
    return true;
  }

  boost::asio::io_context io;
  loopback_node a{io, 1};
  loopback_node b{io, 2};
};

TEST_F(loopback, TwoDaemonsLinkAndDeliverALargeMessage) {
  ASSERT_TRUE(a.started && b.started);
  a.router->Connect(b.address);
  ASSERT_TRUE(RunUntil([&] { return a.router->link_count() == 1 && b.router->link_count() == 1; }));
  a.router->Send(b.router->self(),
                 {peer_topic::kConfigPart, std::vector<std::uint8_t>(1024 * 1024, 7)});
  ASSERT_TRUE(RunUntil([&] { return b.received.count == 1; }));
  EXPECT_EQ(b.received.bytes, std::size_t{1024} * 1024);
}

TEST_F(loopback, StoppedDaemonIsDetected) {
  a.router->Connect(b.address);
  ASSERT_TRUE(RunUntil([&] { return a.router->link_count() == 1 && b.router->link_count() == 1; }));
  b.server.Stop();
  EXPECT_TRUE(RunUntil([&] { return a.router->link_count() == 0; }));
  a.router->Connect(b.address);
  EXPECT_TRUE(RunUntil([&] { return a.server.link_count() == 0; }));
}

TEST_F(loopback, MalformedBytesCloseTheConnection) {
  boost::asio::ip::tcp::socket socket(io);
  socket.connect({boost::asio::ip::make_address("127.0.0.1"), a.server.port()});
  const std::string malformed(64 * 1024, '\x81');
  boost::system::error_code ignored;
  boost::asio::write(socket, boost::asio::buffer(malformed), ignored);
  bool closed = false;
  std::array<char, 4096> buffer{};
  std::function<void()> read = [&] {
    socket.async_read_some(boost::asio::buffer(buffer),
                           [&](const boost::system::error_code& failed, std::size_t) {
                             if (failed) {
                               closed = true;
                             } else {
                               read();
                             }
                           });
  };
  read();
  EXPECT_TRUE(RunUntil([&] { return closed; }));
  EXPECT_EQ(a.server.link_count(), 0u);
}

}  // namespace
}  // namespace hawthorndrum
