/// Tests of the HTTP client against upstreams that send bytes without end where an answer is due.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "http_call_listener.h"
#include "http_client.h"

namespace hawthorndrum {
namespace {

using boost::asio::ip::tcp;

constexpr auto kWaitTimeout = std::chrono::seconds(20);
/** More than the buffers of both sockets and of the client hold together. */
constexpr std::size_t kFlood = 24 * 1024 * 1024;

class flood_listener : public http_call_listener {
 public:
  void OnHead(http_call_id, int, std::vector<http_header>) override { ++heads; }
  void OnBody(http_call_id, std::string bytes) override { body_bytes += bytes.size(); }
  void OnFinished(http_call_id) override { finished = true; }
  void OnLost(http_call_id, attempt_failure why, bool) override { lost = why; }

  int heads = 0;
  std::size_t body_bytes = 0;
  bool finished = false;
  std::optional<attempt_failure> lost;
};

class EndlessAnswerTest : public testing::Test {
 protected:
  EndlessAnswerTest() : acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0}), client(io) {}

  /**
   * Sends a request and answers with `begin` and then `unit` over and over until the client closes
   * the connection or kFlood bytes were written.
   */
  void Flood(const std::string& begin, const std::string& unit) {
    http_call call;
    call.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    call.request.method = "GET";
    call.request.target = "/x";
    call.resend = false;
    call.idle_timeout = duration(0);
    call.expected_answer = {"Id", "mine"};
    client.Start(std::move(call), listener);
    tcp::socket socket(io);
    bool accepted = false;
    acceptor.async_accept(socket, [&](boost::system::error_code failed) { accepted = !failed; });
    ASSERT_TRUE(RunUntil([&] { return accepted; }));
    socket.non_blocking(true);
    std::string units;
    while (units.size() < 16 * 1024) units += unit;
    std::string unsent = begin;
    RunUntil([&] {
      boost::system::error_code failed;
      if (unsent.empty()) unsent = units;
      const std::size_t size = socket.write_some(boost::asio::buffer(unsent), failed);
      written += size;
      unsent.erase(0, size);
      const bool closed = failed && failed != boost::asio::error::would_block;
      return closed || written >= kFlood || listener.lost || listener.finished;
    });
  }
  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.poll_one();
    }
    return done();
  }
  void ExpectLost() {
    EXPECT_EQ(listener.lost, attempt_failure::kMalformed);
    EXPECT_FALSE(listener.finished);
    EXPECT_LT(written, kFlood);
    EXPECT_EQ(client.open_calls(), 0u);
  }

  boost::asio::io_context io;
  tcp::acceptor acceptor;
  http_client client;
  flood_listener listener;
  std::size_t written = 0;
};

TEST_F(EndlessAnswerTest, AHeadWithoutEndIsCutOff) {
  Flood("HTTP/1.1 200 OK\r\nId: mine\r\n", "A: b\r\n");
  ExpectLost();
}

TEST_F(EndlessAnswerTest, AHeaderLineWithoutEndIsCutOff) {
  Flood("HTTP/1.1 200 OK\r\nId: ", "m");
  ExpectLost();
}

TEST_F(EndlessAnswerTest, InterimAnswersWithoutEndAreCutOff) {
  Flood("", "HTTP/1.1 100 Continue\r\n\r\n");
  ExpectLost();
}

TEST_F(EndlessAnswerTest, AChunkExtensionWithoutEndIsCutOff) {
  Flood("HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n5;", "e");
  ExpectLost();
}

TEST_F(EndlessAnswerTest, ATrailerWithoutEndIsCutOff) {
  Flood("HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
        "A: b\r\n");
  ExpectLost();
}

TEST_F(EndlessAnswerTest, ABodyOfAnotherRequestWithoutEndIsCutOff) {
  Flood("HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x");
  ExpectLost();
  EXPECT_EQ(listener.heads, 0);
  EXPECT_EQ(listener.body_bytes, 0u);
}

TEST_F(EndlessAnswerTest, AnswersToOtherRequestsWithoutEndAreCutOff) {
  Flood("", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx");
  ExpectLost();
}

class pausing_listener : public flood_listener {
 public:
  explicit pausing_listener(http_client& client) : client_(client) {}
  void OnHead(http_call_id id, int, std::vector<http_header>) override {
    call = id;
    client_.SetPaused(id, true);
  }

  http_call_id call;

 private:
  http_client& client_;
};

// Guards against a call whose paused answer is read on, or not read again afterwards.
TEST_F(EndlessAnswerTest, APausedAnswerIsNotReadUntilItIsResumed) {
  pausing_listener paused(client);
  http_call call;
  call.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  call.request.method = "GET";
  call.request.target = "/x";
  client.Start(std::move(call), paused);
  tcp::socket socket(io);
  bool accepted = false;
  acceptor.async_accept(socket, [&](boost::system::error_code failed) { accepted = !failed; });
  ASSERT_TRUE(RunUntil([&] { return accepted; }));
  const std::size_t size = 16 * 1024 * 1024;
  std::string unsent = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
  unsent.append(size, 'x');
  socket.non_blocking(true);
  std::size_t sent = 0;
  int blocked = 0;
  const auto write = [&] {
    boost::system::error_code failed;
    const std::size_t most = std::min<std::size_t>(unsent.size() - sent, 64 * 1024);
    const std::size_t done = socket.write_some(boost::asio::buffer(&unsent[sent], most), failed);
    sent += done;
    blocked = done == 0 ? blocked + 1 : 0;
  };
  RunUntil([&] { return write(), blocked > 2000 || sent == unsent.size(); });
  EXPECT_LT(sent, unsent.size()) << "the upstream is held back";
  EXPECT_LE(paused.body_bytes, 256u * 1024);
  client.SetPaused(paused.call, false);
  EXPECT_TRUE(RunUntil([&] {
    if (sent < unsent.size()) write();
    return paused.finished;
  }));
  EXPECT_EQ(paused.body_bytes, size);
}

}  // namespace
}  // namespace hawthorndrum
