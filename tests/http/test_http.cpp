/// Tests of the HTTP server and client with malformed input, closed connections and slow callers.
#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics_registry.h"
#include "fake_random_source.h"
#include "http_call_listener.h"
#include "http_client.h"
#include "http_handler.h"
#include "http_server.h"

namespace hawthorndrum {
namespace {

using boost::asio::ip::tcp;

/** The maximum time that a test waits for an expected event. */
constexpr auto kWaitTimeout = std::chrono::seconds(20);

/** Records requests for the test to answer. */
class recording_handler : public http_handler {
 public:
  void OnRequest(request_id request, http_request message) override {
    ids.push_back(request);
    requests.push_back(std::move(message));
  }
  void OnCallerGone(request_id request) override { gone.push_back(request); }

  std::vector<request_id> ids;
  std::vector<http_request> requests;
  std::vector<request_id> gone;
};

class recording_listener : public http_call_listener {
 public:
  void OnHead(http_call_id, int code, std::vector<http_header>) override { status = code; }
  void OnBody(http_call_id, std::string bytes) override { body += bytes; }
  void OnFinished(http_call_id) override { finished = true; }
  void OnLost(http_call_id, attempt_failure why, bool sent) override {
    lost = why;
    bytes_sent = sent;
  }
  bool has_ended() const { return finished || lost.has_value(); }

  int status = 0;
  std::string body;
  bool finished = false;
  std::optional<attempt_failure> lost;
  bool bytes_sent = false;
};

class HttpTest : public testing::Test {
 protected:
  void Listen(http_limits limits = {}) {
    server = std::make_unique<http_server>(io, handler, random, metrics, "test", limits);
    port = *server->Listen("127.0.0.1:0");
    address = "127.0.0.1:" + std::to_string(port);
  }

  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return done();
  }

  tcp::socket Connect() {
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    socket.non_blocking(true);
    return socket;
  }

  /** A call of `GET /` to the server. */
  http_call GetCall() const {
    http_call call;
    call.address = address;
    call.request.method = "GET";
    call.request.target = "/";
    return call;
  }

  /** Reads until the other side closes the connection. */
  std::string ReadAll(tcp::socket& socket) {
    std::string text;
    RunUntil([&] {
      char bytes[4096];
      boost::system::error_code failed;
      const std::size_t size = socket.read_some(boost::asio::buffer(bytes), failed);
      text.append(bytes, size);
      return failed && failed != boost::asio::error::would_block;
    });
    return text;
  }

  std::string Exchange(const std::string& sent) {
    tcp::socket socket = Connect();
    boost::asio::write(socket, boost::asio::buffer(sent));
    return ReadAll(socket);
  }

  boost::asio::io_context io;
  recording_handler handler;
  fake_random_source random;
  metrics_registry metrics;
  std::unique_ptr<http_server> server;
  std::uint16_t port = 0;
  std::string address;
};

struct bad_input {
  const char* name;
  std::string bytes;
  const char* answer;
};

TEST_F(HttpTest, BadInputGetsAProblemAndNeverReachesTheHandler) {
  http_limits limits;
  limits.header_bytes = 2048;
  limits.body_bytes = 1024;
  Listen(limits);
  const std::string host = "Host: a\r\n";
  const std::vector<bad_input> inputs = {
      {"both length headers",
       "POST / HTTP/1.1\r\n" + host +
           "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"both length headers, the other way round",
       "POST / HTTP/1.1\r\n" + host +
           "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
       "400"},
      {"two lengths that differ",
       "POST / HTTP/1.1\r\n" + host + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
       "400"},
      {"bad chunk size",
       "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
       "400"},
      {"codings that do not end with chunked",
       "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked, x\r\n\r\nab", "400"},
      {"an unknown coding", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: x\r\n\r\nab", "400"},
      {"negative length", "POST / HTTP/1.1\r\n" + host + "Content-Length: -1\r\n\r\n", "400"},
      {"no HTTP at all", "\x16\x03\x01\x02garbage garbage\r\n\r\n", "400"},
      {"header too large",
       "GET / HTTP/1.1\r\n" + host + "X: " + std::string(4096, 'x') + "\r\n\r\n", "431"},
      {"body too large by its length",
       "POST / HTTP/1.1\r\n" + host + "Content-Length: 5000\r\n\r\n" + std::string(5000, 'x'),
       "413"},
      {"body too large by its chunks",
       "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n800\r\n" +
           std::string(2048, 'x') + "\r\n0\r\n\r\n",
       "413"},
  };
  for (const bad_input& input : inputs) {
    const std::string answer = Exchange(input.bytes);
    EXPECT_EQ(answer.substr(0, 12), std::string("HTTP/1.1 ") + input.answer) << input.name;
    EXPECT_NE(answer.find("\"outcome\":\"not_run\""), std::string::npos) << input.name;
  }
  EXPECT_TRUE(handler.requests.empty());
}

// Guards against bytes that callers take for the next answer.
TEST_F(HttpTest, ARejectedHeadRequestGetsNoBody) {
  Listen();
  for (const std::string size : {"-1", "99999999"}) {
    const std::string answer = Exchange("HEAD / HTTP/1.1\r\nContent-Length: " + size + "\r\n\r\n");
    EXPECT_EQ(answer.substr(0, 10), "HTTP/1.1 4");
    EXPECT_EQ(answer.find("\r\n\r\n") + 4, answer.size()) << answer;
  }
}

TEST_F(HttpTest, TruncatedBodyNeverReachesTheHandler) {
  Listen();
  tcp::socket socket = Connect();
  const std::string part = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc";
  boost::asio::write(socket, boost::asio::buffer(part));
  socket.shutdown(tcp::socket::shutdown_send);
  ReadAll(socket);
  EXPECT_TRUE(handler.requests.empty());
}

TEST_F(HttpTest, SlowHeaderIsCutOffWhileOthersAreServed) {
  http_limits limits;
  limits.header_timeout = milliseconds(200);
  Listen(limits);
  tcp::socket slow = Connect();
  boost::asio::write(slow, boost::asio::buffer(std::string("GET / HTT")));
  tcp::socket quick = Connect();
  boost::asio::write(quick, boost::asio::buffer(std::string("GET /q HTTP/1.1\r\nHost: a\r\n\r\n")));
  ASSERT_TRUE(RunUntil([&] { return handler.requests.size() == 1; }));
  EXPECT_EQ(handler.requests[0].target, "/q");
  EXPECT_EQ(ReadAll(slow), "");
  EXPECT_TRUE(RunUntil([&] { return server->connections() == 1; }));
  EXPECT_EQ(handler.requests.size(), 1u);
}

TEST_F(HttpTest, IdleConnectionsLeaveRoomForRequests) {
  constexpr int kIdle = 2000;
  Listen();
  std::vector<tcp::socket> idle;
  for (int i = 0; i < kIdle; ++i) {
    idle.push_back(Connect());
    io.restart();
    io.poll();
  }
  ASSERT_TRUE(RunUntil([&] { return server->connections() == kIdle; }));
  tcp::socket busy = Connect();
  boost::asio::write(busy, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  EXPECT_TRUE(RunUntil([&] { return handler.requests.size() == 1; }));
}

TEST_F(HttpTest, LongestIdleConnectionIsEvictedAtTheLimit) {
  http_limits limits;
  limits.connections = 2;
  Listen(limits);
  tcp::socket first = Connect();
  ASSERT_TRUE(RunUntil([&] { return server->connections() == 1; }));
  tcp::socket second = Connect();
  ASSERT_TRUE(RunUntil([&] { return server->connections() == 2; }));
  tcp::socket third = Connect();
  EXPECT_EQ(ReadAll(first), "");
  boost::asio::write(third, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  EXPECT_TRUE(RunUntil([&] { return handler.requests.size() == 1; }));
  EXPECT_EQ(server->connections(), 2u);
}

TEST_F(HttpTest, BusyConnectionsAreNeverEvicted) {
  http_limits limits;
  limits.connections = 2;
  Listen(limits);
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  tcp::socket first = Connect();
  tcp::socket second = Connect();
  boost::asio::write(first, boost::asio::buffer(request));
  boost::asio::write(second, boost::asio::buffer(request));
  ASSERT_TRUE(RunUntil([&] { return handler.requests.size() == 2; }));
  tcp::socket third = Connect();
  EXPECT_EQ(ReadAll(third), "");
  EXPECT_TRUE(handler.gone.empty());
  EXPECT_EQ(server->connections(), 2u);
}

TEST_F(HttpTest, CallerThatClosesItsConnectionIsReportedOnce) {
  Listen();
  tcp::socket socket = Connect();
  boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  ASSERT_TRUE(RunUntil([&] { return handler.ids.size() == 1; }));
  socket.close();
  ASSERT_TRUE(RunUntil([&] { return !handler.gone.empty(); }));
  server->Answer(handler.ids[0], {200, {}, "late"});
  EXPECT_EQ(handler.gone, handler.ids);
}

TEST_F(HttpTest, CallerThatNeverReadsIsCutOff) {
  http_limits limits;
  limits.unsent_bytes = 64 * 1024;
  Listen(limits);
  tcp::socket socket = Connect();
  boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  ASSERT_TRUE(RunUntil([&] { return handler.ids.size() == 1; }));
  server->Begin(handler.ids[0], 200, {});
  const std::string block(32 * 1024, 'x');
  EXPECT_TRUE(RunUntil([&] {
    server->Write(handler.ids[0], block);
    return handler.gone.size() == 1;
  }));
}

TEST_F(HttpTest, PipelinedRequestsAreAnsweredInOrder) {
  Listen();
  tcp::socket socket = Connect();
  const std::string two =
      "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(two));
  ASSERT_TRUE(RunUntil([&] { return handler.ids.size() == 1; }));
  server->Answer(handler.ids[0], {200, {}, "first"});
  ASSERT_TRUE(RunUntil([&] { return handler.ids.size() == 2; }));
  server->Answer(handler.ids[1], {200, {}, "second"});
  const std::string text = ReadAll(socket);
  EXPECT_LT(text.find("first"), text.find("second"));
}

TEST_F(HttpTest, ABodyAfterContinueIsReadOnAKeptConnection) {
  Listen();
  tcp::socket socket = Connect();
  boost::asio::write(socket,
                     boost::asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")));
  ASSERT_TRUE(RunUntil([&] { return handler.ids.size() == 1; }));
  server->Answer(handler.ids[0], {200, {}, "one"});
  const std::string head =
      "POST /b HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(head));
  std::string read;
  const auto read_some = [&] {
    char bytes[4096];
    boost::system::error_code failed;
    const std::size_t size = socket.read_some(boost::asio::buffer(bytes), failed);
    read.append(bytes, size);
    return !failed || failed == boost::asio::error::would_block;
  };
  ASSERT_TRUE(RunUntil([&] {
    read_some();
    return read.find("100 Continue") != std::string::npos;
  }));
  boost::asio::write(socket, boost::asio::buffer(std::string("body")));
  ASSERT_TRUE(RunUntil([&] { return handler.ids.size() == 2 || !read_some(); }));
  ASSERT_EQ(handler.ids.size(), 2u) << "the connection was closed without an answer";
  EXPECT_EQ(handler.requests[1].body, "body");
}

TEST_F(HttpTest, AbortedStreamHasNoLastChunk) {
  Listen();
  http_client client(io);
  recording_listener listener;
  client.Start(GetCall(), listener);
  ASSERT_TRUE(RunUntil([&] { return handler.ids.size() == 1; }));
  server->Begin(handler.ids[0], 200, {});
  server->Write(handler.ids[0], "part");
  ASSERT_TRUE(RunUntil([&] { return listener.body == "part"; }));
  server->Abort(handler.ids[0]);
  ASSERT_TRUE(RunUntil([&] { return listener.has_ended(); }));
  EXPECT_EQ(listener.lost, attempt_failure::kConnectionLost);
  EXPECT_TRUE(listener.bytes_sent);
}

TEST_F(HttpTest, AbortedStreamDeliversTheBytesAlreadyWritten) {
  Listen();
  http_client client(io);
  recording_listener listener;
  client.Start(GetCall(), listener);
  ASSERT_TRUE(RunUntil([&] { return handler.ids.size() == 1; }));
  server->Begin(handler.ids[0], 200, {});
  server->Write(handler.ids[0], "a token, ");
  server->Write(handler.ids[0], "then the error");
  server->Abort(handler.ids[0]);
  ASSERT_TRUE(RunUntil([&] { return listener.has_ended(); }));
  EXPECT_EQ(listener.body, "a token, then the error");
  EXPECT_EQ(listener.lost, attempt_failure::kConnectionLost);
}

TEST_F(HttpTest, ClientTellsWhenNoByteWasSent) {
  Listen();
  server->StopListening();
  http_client client(io);
  recording_listener listener;
  client.Start(GetCall(), listener);
  ASSERT_TRUE(RunUntil([&] { return listener.has_ended(); }));
  EXPECT_EQ(listener.lost, attempt_failure::kNotConnected);
  EXPECT_FALSE(listener.bytes_sent);
}

TEST_F(HttpTest, ClientReusesItsConnectionForCompleteExchanges) {
  Listen();
  http_client client(io);
  for (int i = 0; i < 3; ++i) {
    recording_listener listener;
    http_call call;
    call.address = address;
    call.request.method = "POST";
    call.request.target = "/x";
    call.request.body = std::string(100000, 'b');
    client.Start(call, listener);
    const std::size_t wanted = static_cast<std::size_t>(i) + 1;
    ASSERT_TRUE(RunUntil([&] { return handler.ids.size() == wanted; }));
    EXPECT_EQ(handler.requests.back().body.size(), 100000u);
    server->Answer(handler.ids.back(), {200, {}, std::string(200000, 'c')});
    ASSERT_TRUE(RunUntil([&] { return listener.has_ended(); }));
    EXPECT_TRUE(listener.finished);
    EXPECT_EQ(listener.body.size(), 200000u);
  }
  EXPECT_EQ(metrics.Counter("http_connections_total", "server=\"test\"").value(), 1u);
}

TEST_F(HttpTest, CancelledCallReportsNothingMore) {
  Listen();
  http_client client(io);
  recording_listener listener;
  const http_call_id id = client.Start(GetCall(), listener);
  ASSERT_TRUE(RunUntil([&] { return handler.ids.size() == 1; }));
  client.Cancel(id);
  ASSERT_TRUE(RunUntil([&] { return !handler.gone.empty(); }));
  EXPECT_FALSE(listener.has_ended());
  EXPECT_EQ(client.open_calls(), 0u);
}

}  // namespace
}  // namespace hawthorndrum
