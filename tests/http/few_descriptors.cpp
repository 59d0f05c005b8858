/// Tests of the HTTP client and its pool in a process that is out of file descriptors.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "connection_pool.h"
#include "http_call_listener.h"
#include "http_client.h"

namespace hawthorndrum {
namespace {

using boost::asio::ip::tcp;

constexpr auto kWaitTimeout = std::chrono::seconds(5);
constexpr rlim_t kFewDescriptors = 128;

class outcome_listener : public http_call_listener {
 public:
  void OnHead(http_call_id, int, std::vector<http_header>) override {}
  void OnBody(http_call_id, std::string) override {}
  void OnFinished(http_call_id) override { finished = true; }
  void OnLost(http_call_id, attempt_failure why, bool sent) override {
    lost = why;
    bytes_sent = sent;
  }
  bool has_ended() const { return finished || lost; }

  bool finished = false;
  std::optional<attempt_failure> lost;
  bool bytes_sent = true;
};

/** Lowers the process's limit, and restores it. */
class FewDescriptorsTest : public testing::Test {
 protected:
  FewDescriptorsTest() : first(io, Loopback()), second(io, Loopback()), client(io) {
    getrlimit(RLIMIT_NOFILE, &limit_before);
    rlimit few = limit_before;
    few.rlim_cur = std::min(few.rlim_cur, kFewDescriptors);
    setrlimit(RLIMIT_NOFILE, &few);
  }
  ~FewDescriptorsTest() override {
    Release();
    setrlimit(RLIMIT_NOFILE, &limit_before);
  }

  static tcp::endpoint Loopback() { return {boost::asio::ip::make_address("127.0.0.1"), 0}; }
  static std::string AddressOf(const tcp::acceptor& at) {
    return "127.0.0.1:" + std::to_string(at.local_endpoint().port());
  }
  void TakeAll() {
    for (int taken = open("/dev/null", O_RDONLY); taken >= 0; taken = open("/dev/null", O_RDONLY))
      held.push_back(taken);
    ASSERT_FALSE(held.empty());
  }
  void Release() {
    for (const int each : held) close(each);
    held.clear();
  }
  void Start(const tcp::acceptor& at, outcome_listener& listener) {
    http_call call;
    call.address = AddressOf(at);
    call.request.method = "GET";
    call.request.target = "/x";
    client.Start(std::move(call), listener);
  }
  std::optional<attempt_failure> Probe(const tcp::acceptor& at) {
    bool has_ended = false;
    std::optional<attempt_failure> failure;
    client.Probe(AddressOf(at), 7, seconds(5), [&](std::optional<attempt_failure> why) {
      has_ended = true;
      failure = why;
    });
    EXPECT_TRUE(RunUntil([&] { return has_ended; }));
    return failure;
  }
  /** Accepts a connection, reads its request and answers it. */
  tcp::socket Answer(tcp::acceptor& at) {
    tcp::socket socket(io);
    at.non_blocking(true);
    const bool accepted = RunUntil([&] {
      boost::system::error_code failed;
      if (!socket.is_open()) at.accept(socket, failed);
      return socket.is_open();
    });
    EXPECT_TRUE(accepted);
    if (!accepted) return socket;
    socket.non_blocking(true);
    std::string read;
    RunUntil([&] {
      char bytes[4096];
      boost::system::error_code failed;
      read.append(bytes, socket.read_some(boost::asio::buffer(bytes), failed));
      return read.find("\r\n\r\n") != std::string::npos;
    });
    boost::asio::write(socket, boost::asio::buffer(std::string("HTTP/1.1 204 No Content\r\n\r\n")));
    return socket;
  }
  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(5));
    }
    return done();
  }

  boost::asio::io_context io;
  tcp::acceptor first;
  tcp::acceptor second;
  http_client client;
  rlimit limit_before{};
  std::vector<int> held;
};

// Guards against upstreams that count as lost because this process is out of descriptors.
TEST_F(FewDescriptorsTest, ALackOfDescriptorsIsNoFailureOfTheUpstream) {
  TakeAll();
  outcome_listener refused;
  Start(first, refused);
  ASSERT_TRUE(RunUntil([&] { return refused.has_ended(); }));
  EXPECT_EQ(refused.lost, attempt_failure::kNoResources);
  EXPECT_FALSE(refused.bytes_sent);
  EXPECT_EQ(Probe(first), attempt_failure::kNoResources);

  Release();
  outcome_listener served;
  Start(first, served);
  Answer(first);
  EXPECT_TRUE(RunUntil([&] { return served.finished; }));
  EXPECT_EQ(Probe(first), std::nullopt);
}

// Guards against calls that fail while idle connections hold the descriptors that they need.
TEST_F(FewDescriptorsTest, ACallTakesTheDescriptorOfAnIdleConnection) {
  outcome_listener before;
  Start(first, before);
  tcp::socket kept = Answer(first);
  ASSERT_TRUE(RunUntil([&] { return before.finished; }));
  TakeAll();
  outcome_listener served;
  Start(second, served);
  RunUntil([&] { return served.has_ended() || client.open_calls() == 1; });
  kept.close();
  Answer(second);
  EXPECT_TRUE(RunUntil([&] { return served.has_ended(); }));
  EXPECT_TRUE(served.finished);
}

// Guards against one pool that takes all descriptors: many upstreams, a few connections of each.
TEST(ConnectionPoolTest, AllUpstreamsTogetherKeepABoundedNumberOfConnections) {
  boost::asio::io_context io;
  connection_pool pool;
  for (std::size_t i = 0; i < 2 * connection_pool::kMaxIdle; ++i) {
    pool.Keep({"10.0.0.1:1", i / 3}, std::make_unique<client_connection>(io.get_executor()),
              seconds(60));
    ASSERT_EQ(pool.size(), std::min(i + 1, connection_pool::kMaxIdle));
  }
  for (std::size_t left = pool.size(); left > 0; --left) {
    ASSERT_TRUE(pool.CloseLongestIdle());
    ASSERT_EQ(pool.size(), left - 1);
  }
  EXPECT_FALSE(pool.CloseLongestIdle());
}

TEST(ConnectionPoolTest, TheLongestIdleConnectionIsGivenUpFirst) {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  connection_pool pool;
  std::vector<tcp::socket> servers;
  const std::uint64_t owners[] = {2, 1, 2, 1};
  for (const std::uint64_t owner : owners) {
    auto opened = std::make_unique<client_connection>(io.get_executor());
    opened->socket.connect(acceptor.local_endpoint());
    servers.push_back(acceptor.accept());
    servers.back().non_blocking(true);
    pool.Keep({"10.0.0.1:1", owner}, std::move(opened), seconds(60));
  }
  const auto is_closed = [](tcp::socket& server) {
    char byte = 0;
    boost::system::error_code failed;
    server.read_some(boost::asio::buffer(&byte, 1), failed);
    return failed == boost::asio::error::eof;
  };
  for (std::size_t closed = 0; closed < servers.size(); ++closed) {
    ASSERT_TRUE(pool.CloseLongestIdle());
    for (std::size_t i = 0; i < servers.size(); ++i)
      EXPECT_EQ(is_closed(servers[i]), i <= closed) << "connection " << i;
  }
}

}  // namespace
}  // namespace hawthorndrum
