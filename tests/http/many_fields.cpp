/// Tests of requests whose fields, chunk extensions or trailers take much more memory than their
/// bytes.
#include <gtest/gtest.h>
#include <malloc.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/byte_budget.h"
#include "base/metrics_registry.h"
#include "fake_random_source.h"
#include "http_handler.h"
#include "http_server.h"

namespace hawthorndrum {
namespace {

using boost::asio::ip::tcp;

constexpr auto kWaitTimeout = std::chrono::seconds(20);
constexpr std::size_t kLimit = 64 * 1024 * 1024;
/** What a connection may take beside what is counted. */
constexpr std::size_t kForConnection = 32 * 1024;

class request_keeper : public http_handler {
 public:
  void OnRequest(request_id, http_request message) override {
    requests.push_back(std::move(message));
  }
  void OnCallerGone(request_id) override {}

  std::vector<http_request> requests;
};

std::size_t AllocatedBytes() {
  const struct mallinfo2 figures = mallinfo2();
  return figures.uordblks + figures.hblkhd;
}

std::string Repeat(std::string_view text, std::size_t times) {
  std::string repeated;
  repeated.reserve(text.size() * times);
  for (std::size_t i = 0; i < times; ++i) repeated += text;
  return repeated;
}

class ManyFieldsTest : public testing::Test {
 protected:
  ManyFieldsTest() : server(io, handler, random, metrics, "test", {}, nullptr, budget) {
    port = *server.Listen("127.0.0.1:0");
  }
  tcp::socket Connect() {
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    socket.non_blocking(true);
    return socket;
  }
  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    bool is_done = done();
    while (!is_done && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(1));
      is_done = done();
    }
    return is_done;
  }
  /** Whether nothing is left to be done at once. */
  bool IsQuiet() {
    io.restart();
    return io.run_one_for(std::chrono::milliseconds(100)) == 0;
  }
  /** Sends as far as the server takes it; returns the most that was allocated and not counted. */
  std::size_t MostUncounted(std::vector<tcp::socket>& sockets, const std::string& bytes,
                            const std::function<bool()>& done) {
    const std::size_t before = AllocatedBytes();
    std::vector<std::size_t> sent(sockets.size());
    std::size_t most = 0;
    EXPECT_TRUE(RunUntil([&] {
      bool all_sent = true;
      for (std::size_t i = 0; i < sockets.size(); ++i) {
        boost::system::error_code failed;
        sent[i] += sockets[i].write_some(
            boost::asio::buffer(bytes.data() + sent[i], bytes.size() - sent[i]), failed);
        const bool closed = failed && failed != boost::asio::error::would_block;
        all_sent = all_sent && (closed || sent[i] == bytes.size());
      }
      const std::size_t now = AllocatedBytes();
      const std::size_t counted = before + budget->held();
      if (now > counted) most = std::max(most, now - counted);
      return all_sent && done();
    }));
    return most;
  }

  boost::asio::io_context io;
  request_keeper handler;
  fake_random_source random;
  metrics_registry metrics;
  std::shared_ptr<byte_budget> budget = std::make_shared<byte_budget>(kLimit);
  http_server server;
  std::uint16_t port = 0;
};

// Guards against stalled requests whose many short fields take far more than what is counted.
TEST_F(ManyFieldsTest, FieldsOfAStalledRequestCountAsWhatTheyTake) {
  constexpr std::size_t kStalled = 20;
  std::vector<tcp::socket> sockets;
  for (std::size_t i = 0; i < kStalled; ++i) sockets.push_back(Connect());
  const std::string bytes =
      "POST / HTTP/1.1\r\nContent-Length: 9\r\n" + Repeat("a:\r\n", 3900) + "\r\n";
  const std::size_t most = MostUncounted(
      sockets, bytes, [&] { return budget->held() >= kStalled * 16 * 1024 && IsQuiet(); });
  EXPECT_LT(most, kStalled * kForConnection);
}

// Guards against a trailer that takes the memory which its request is not allowed.
TEST_F(ManyFieldsTest, ALongTrailerIsNotTaken) {
  std::vector<tcp::socket> sockets;
  sockets.push_back(Connect());
  const std::string bytes = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" +
                            Repeat("a:\r\n", 500'000) + "\r\n";
  const std::size_t most =
      MostUncounted(sockets, bytes, [&] { return !handler.requests.empty() || IsQuiet(); });
  EXPECT_LT(most, 512u * 1024);
  EXPECT_TRUE(handler.requests.empty());
}

// Guards against a caller that ends the process: the library throws at a longer field.
TEST_F(ManyFieldsTest, ATrailerThatTheLibraryCannotHoldIsRefused) {
  for (const std::uint32_t header_bytes : {1024u, 16 * 1024u, 256 * 1024u}) {
    http_limits limits;
    limits.header_bytes = header_bytes;
    server.SetLimits(limits);
    for (const std::size_t size : {std::size_t{60'000}, std::size_t{65'534}, std::size_t{70'000}}) {
      std::vector<tcp::socket> sockets;
      sockets.push_back(Connect());
      const std::string bytes =
          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + std::string(size, 'x') +
          "\r\n\r\n";
      EXPECT_NO_THROW(MostUncounted(sockets, bytes, [&] { return IsQuiet(); }));
    }
  }
}

// Guards against a chunk extension without an end.
TEST_F(ManyFieldsTest, AnEndlessChunkExtensionIsNotTaken) {
  std::vector<tcp::socket> sockets;
  sockets.push_back(Connect());
  const std::string bytes =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;" + std::string(20'000'000, 'x');
  EXPECT_LT(MostUncounted(sockets, bytes, [&] { return IsQuiet(); }), 512u * 1024);
}

}  // namespace
}  // namespace hawthorndrum
