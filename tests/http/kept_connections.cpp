/// Tests of kept connections when the server's limits change or the server stops.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/metrics_registry.h"
#include "fake_random_source.h"
#include "http_handler.h"
#include "http_server.h"

namespace hawthorndrum {
namespace {

using boost::asio::ip::tcp;

constexpr auto kWaitTimeout = std::chrono::seconds(20);
const char* const kGet = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";

class request_recorder : public http_handler {
 public:
  void OnRequest(request_id request, http_request message) override {
    ids.push_back(request);
    requests.push_back(std::move(message));
  }
  void OnCallerGone(request_id) override {}

  std::vector<request_id> ids;
  std::vector<http_request> requests;
};

class KeptConnectionsTest : public testing::Test {
 protected:
  void Listen(const http_limits& limits) {
    server = std::make_unique<http_server>(io, handler, random, metrics, "test", limits);
    port = *server->Listen("127.0.0.1:0");
  }
  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(5));
    }
    return done();
  }
  /** Runs the loop until `time` has passed. */
  void Run(std::chrono::milliseconds time) {
    boost::asio::steady_timer timer(io, time);
    bool is_over = false;
    timer.async_wait([&](boost::system::error_code) { is_over = true; });
    ASSERT_TRUE(RunUntil([&] { return is_over; }));
  }
  /** Connects and returns in the turn of the loop in which the server accepts. */
  tcp::socket Connect() {
    const std::size_t before = server->connections();
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    socket.non_blocking(true);
    EXPECT_TRUE(RunUntil([&] { return server->connections() > before; }));
    return socket;
  }
  static void Write(tcp::socket& socket, const std::string& bytes) {
    boost::asio::write(socket, boost::asio::buffer(bytes));
  }
  bool WaitForRequests(std::size_t count) {
    return RunUntil([&] { return handler.ids.size() >= count || server->connections() == 0; }) &&
           handler.ids.size() == count;
  }
  /** Reads until the server closes the connection or `text` has arrived. */
  std::string ReadUntil(tcp::socket& socket, const std::string& text) {
    std::string read;
    RunUntil([&] {
      char bytes[4096];
      boost::system::error_code failed;
      read.append(bytes, socket.read_some(boost::asio::buffer(bytes), failed));
      if (failed && failed != boost::asio::error::would_block) closed = true;
      return closed || (!text.empty() && read.find(text) != std::string::npos);
    });
    return read;
  }
  /** Makes one exchange on the connection and returns with it kept open. */
  void Exchange(tcp::socket& socket) {
    Write(socket, kGet);
    ASSERT_TRUE(WaitForRequests(handler.ids.size() + 1));
    server->Answer(handler.ids.back(), {200, {}, "done"});
    ASSERT_NE(ReadUntil(socket, "done").find("done"), std::string::npos);
  }

  boost::asio::io_context io;
  request_recorder handler;
  fake_random_source random;
  metrics_registry metrics;
  std::unique_ptr<http_server> server;
  std::uint16_t port = 0;
  /** Whether ReadUntil found the connection closed. */
  bool closed = false;
};

std::string Post(std::size_t size) {
  return "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
         std::string(size, 'x');
}

// Guards against 413 and 431 by limits that were replaced before the request was sent.
TEST_F(KeptConnectionsTest, ARaisedLimitOfSizesIsInForce) {
  http_limits limits;
  limits.header_bytes = 100;
  limits.body_bytes = 4;
  Listen(limits);
  tcp::socket fresh = Connect();
  tcp::socket kept = Connect();
  Exchange(kept);
  limits.header_bytes = 2000;
  limits.body_bytes = 100;
  server->SetLimits(limits);
  Write(fresh, Post(10));
  EXPECT_TRUE(WaitForRequests(2));
  Write(kept, "GET /c HTTP/1.1\r\nHost: a\r\nX: " + std::string(1000, 'x') + "\r\n\r\n");
  EXPECT_TRUE(WaitForRequests(3));
}

// Guards against a lowered limit that kept connections do not obey.
TEST_F(KeptConnectionsTest, ALoweredLimitOfSizesIsInForce) {
  http_limits limits;
  Listen(limits);
  tcp::socket kept = Connect();
  Exchange(kept);
  limits.body_bytes = 4;
  server->SetLimits(limits);
  Write(kept, Post(10));
  EXPECT_EQ(ReadUntil(kept, "\r\n").substr(0, 12), "HTTP/1.1 413");
}

// Guards against a lowered header timeout that kept connections do not obey.
TEST_F(KeptConnectionsTest, ALoweredHeaderTimeoutIsInForce) {
  http_limits limits;
  limits.header_timeout = seconds(3600);
  Listen(limits);
  tcp::socket kept = Connect();
  Exchange(kept);
  limits.header_timeout = milliseconds(100);
  server->SetLimits(limits);
  Write(kept, "GET /b HTT");
  EXPECT_EQ(ReadUntil(kept, ""), "");
  EXPECT_TRUE(closed);
}

// Guards against the old idle timeout closing a connection that callers may still use.
TEST_F(KeptConnectionsTest, ARaisedIdleTimeoutIsInForceOnIdleConnections) {
  http_limits limits;
  limits.idle_timeout = milliseconds(200);
  Listen(limits);
  tcp::socket idle = Connect();
  limits.idle_timeout = seconds(3600);
  server->SetLimits(limits);
  Run(std::chrono::milliseconds(500));
  Exchange(idle);
  Run(std::chrono::milliseconds(500));
  Exchange(idle);
}

// Guards against idle connections that stay open by the old idle timeout.
TEST_F(KeptConnectionsTest, ALoweredIdleTimeoutIsInForceOnIdleConnections) {
  http_limits limits;
  limits.idle_timeout = seconds(3600);
  Listen(limits);
  tcp::socket idle = Connect();
  limits.idle_timeout = milliseconds(100);
  server->SetLimits(limits);
  ReadUntil(idle, "");
  EXPECT_TRUE(closed);
  EXPECT_EQ(server->connections(), 0u);
}

// Guards against bytes that are lost, or a connection that is closed, when limits change meanwhile.
TEST_F(KeptConnectionsTest, ARequestThatArrivesWhileLimitsChangeIsWhole) {
  http_limits limits;
  Listen(limits);
  tcp::socket kept = Connect();
  const std::string request = Post(10);
  for (std::size_t i = 0; i < request.size(); ++i) {
    Write(kept, request.substr(i, 1));
    limits.idle_timeout += seconds(1);
    server->SetLimits(limits);
    io.restart();
    io.poll_one();
  }
  ASSERT_TRUE(WaitForRequests(1));
  EXPECT_EQ(handler.requests[0].body, std::string(10, 'x'));
  EXPECT_EQ(server->connections(), 1u);
}

// Guards against a request that arrived but was not read yet being cut when the server stops.
TEST_F(KeptConnectionsTest, AnArrivedRequestIsServedWhenTheServerStops) {
  Listen({});
  tcp::socket kept = Connect();
  Exchange(kept);
  Run(std::chrono::milliseconds(1));
  Write(kept, kGet);
  server->StopListening();
  EXPECT_EQ(server->busy_connections(), 1u);
  ASSERT_TRUE(WaitForRequests(2));
  server->Answer(handler.ids[1], {200, {}, "last"});
  const std::string answer = ReadUntil(kept, "");
  EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
  EXPECT_NE(answer.find("last"), std::string::npos) << answer;
  EXPECT_EQ(server->connections(), 0u);
}

// Guards against the same cut right after an answer, while the next request is being taken up.
TEST_F(KeptConnectionsTest, AnArrivedRequestIsServedAtAnyTurnOfAStop) {
  for (int turns = 0; turns < 8; ++turns) {
    Listen({});
    tcp::socket kept = Connect();
    Write(kept, kGet);
    const std::size_t count = handler.ids.size();
    ASSERT_TRUE(WaitForRequests(count + 1));
    server->Answer(handler.ids.back(), {200, {}, "first"});
    Write(kept, kGet);
    for (int i = 0; i < turns; ++i) {
      io.restart();
      io.poll_one();
    }
    server->StopListening();
    EXPECT_TRUE(WaitForRequests(count + 2)) << turns;
  }
}

// Guards against a pipelined request that is dropped although the answer before kept the
// connection.
TEST_F(KeptConnectionsTest, APipelinedRequestIsServedWhenTheServerStops) {
  Listen({});
  tcp::socket kept = Connect();
  Write(kept, std::string(kGet) + kGet);
  ASSERT_TRUE(WaitForRequests(1));
  server->Answer(handler.ids[0], {200, {}, "first"});
  server->StopListening();
  ASSERT_TRUE(WaitForRequests(2));
  server->Answer(handler.ids[1], {200, {}, "last"});
  const std::string answers = ReadUntil(kept, "");
  EXPECT_LT(answers.find("first"), answers.find("Connection: close")) << answers;
  EXPECT_NE(answers.find("last"), std::string::npos) << answers;
  EXPECT_EQ(server->connections(), 0u);
}

// Guards against a connection with an arrived request being evicted in place of an idle one.
TEST_F(KeptConnectionsTest, AnArrivedRequestIsNotEvicted) {
  http_limits limits;
  limits.connections = 2;
  Listen(limits);
  tcp::socket arrived = Connect();
  tcp::socket idle = Connect();
  tcp::socket third(io);
  third.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  Write(arrived, kGet);
  ReadUntil(idle, "");
  EXPECT_TRUE(closed);
  EXPECT_TRUE(WaitForRequests(1));
}

// Guards against a request that arrived while the loop was held up past the idle timeout being cut.
TEST_F(KeptConnectionsTest, ADelayPastTheIdleTimeoutCutsNoArrivedRequest) {
  http_limits limits;
  limits.idle_timeout = milliseconds(50);
  Listen(limits);
  tcp::socket kept = Connect();
  Write(kept, kGet);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  EXPECT_TRUE(WaitForRequests(1));
}

// Guards against a stopping server that waits for a request that never ends.
TEST_F(KeptConnectionsTest, AnUnfinishedRequestDoesNotHoldUpAStop) {
  http_limits limits;
  limits.header_timeout = milliseconds(100);
  limits.body_timeout = milliseconds(100);
  limits.idle_timeout = seconds(3600);
  Listen(limits);
  tcp::socket no_header_end = Connect();
  tcp::socket no_body = Connect();
  tcp::socket silent = Connect();
  Write(no_header_end, "GET /b HTT");
  Write(no_body, "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
  server->StopListening();
  EXPECT_EQ(server->connections(), 2u);
  EXPECT_TRUE(RunUntil([&] { return server->connections() == 0; }));
  EXPECT_TRUE(handler.ids.empty());
}

// The load of the next tests: callers connect and send until the moment in which the server stops.

TEST_F(KeptConnectionsTest, AConnectionInTheListenQueueIsServedWhenTheServerStops) {
  Listen({});
  std::vector<tcp::socket> callers;
  for (int i = 0; i < 20; ++i) {
    callers.emplace_back(io);
    callers.back().connect({boost::asio::ip::make_address("127.0.0.1"), port});
    callers.back().non_blocking(true);
    Write(callers.back(), kGet);
  }
  server->StopListening();
  ASSERT_TRUE(WaitForRequests(20));
  for (const request_id id : handler.ids) server->Answer(id, {200, {}, "done"});
  for (tcp::socket& each : callers)
    EXPECT_NE(ReadUntil(each, "done").find("done"), std::string::npos);
}

TEST_F(KeptConnectionsTest, ARequestThatFollowsItsConnectionIsServedWhenTheServerStops) {
  Listen({});
  tcp::socket caller(io);
  caller.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  caller.non_blocking(true);
  server->StopListening();
  Run(std::chrono::milliseconds(20));
  EXPECT_EQ(server->busy_connections(), 1u);
  Write(caller, kGet);
  ASSERT_TRUE(WaitForRequests(1));
  server->Answer(handler.ids[0], {200, {}, "done"});
  EXPECT_NE(ReadUntil(caller, "done").find("done"), std::string::npos);
  EXPECT_TRUE(RunUntil([&] { return server->connections() == 0; }));
}

TEST_F(KeptConnectionsTest, AQueuedConnectionWithoutARequestDoesNotHoldUpTheStop) {
  Listen({});
  tcp::socket caller(io);
  caller.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  server->StopListening();
  EXPECT_EQ(server->connections(), 1u);
  EXPECT_TRUE(RunUntil([&] { return server->connections() == 0; }));
}

TEST_F(KeptConnectionsTest, ARequestBehindTheLastAnswerDoesNotResetIt) {
  Listen({});
  tcp::socket caller = Connect();
  server->CloseAfterAnswers();
  Write(caller, kGet);
  ASSERT_TRUE(WaitForRequests(1));
  Write(caller, kGet);
  server->Answer(handler.ids[0], {200, {}, std::string(100'000, 'x') + "done"});
  // The server closes before the caller reads.
  Run(std::chrono::milliseconds(100));
  EXPECT_NE(ReadUntil(caller, "done").find("done"), std::string::npos);
  boost::system::error_code failed;
  char byte = 0;
  RunUntil([&] {
    caller.read_some(boost::asio::buffer(&byte, 1), failed);
    return failed != boost::asio::error::would_block;
  });
  EXPECT_EQ(failed, boost::asio::error::eof);
  EXPECT_EQ(handler.ids.size(), 1u);
}

}  // namespace
}  // namespace hawthorndrum
