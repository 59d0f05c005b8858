/// Tests of headers that are longer than the HTTP library can hold.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "base/metrics_registry.h"
#include "fake_random_source.h"
#include "http_handler.h"
#include "http_server.h"

namespace hawthorndrum {
namespace {

using boost::asio::ip::tcp;

constexpr auto kWaitTimeout = std::chrono::seconds(20);
constexpr std::size_t kKilobyte = 1024;

class request_counter : public http_handler {
 public:
  void OnRequest(request_id, http_request message) override {
    length = FindHeader(message.headers, "X").size();
  }
  void OnCallerGone(request_id) override {}

  std::size_t length = 0;
};

class LongHeadersTest : public testing::Test {
 protected:
  LongHeadersTest() {
    http_limits limits;
    limits.header_bytes = 256 * kKilobyte;
    server = std::make_unique<http_server>(io, handler, random, metrics, "test", limits);
    port = *server->Listen("127.0.0.1:0");
  }
  /** Returns the answer's first bytes; nothing if the request reached the handler. */
  std::string Send(std::size_t size) {
    handler.length = 0;
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    const std::string request =
        "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(size, 'x') + "\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    socket.non_blocking(true);
    std::string text;
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (text.empty() && handler.length == 0 && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(5));
      char bytes[4096];
      boost::system::error_code failed;
      text.append(bytes, socket.read_some(boost::asio::buffer(bytes), failed));
    }
    return text.substr(0, 12);
  }

  boost::asio::io_context io;
  request_counter handler;
  fake_random_source random;
  metrics_registry metrics;
  std::unique_ptr<http_server> server;
  std::uint16_t port = 0;
};

// Guards against a caller that ends the process: the library throws at a longer value, although the
// operators' limit allows it.
TEST_F(LongHeadersTest, AValueThatTheLibraryCannotHoldIsRefused) {
  EXPECT_EQ(Send(60 * kKilobyte), "");
  EXPECT_EQ(handler.length, 60 * kKilobyte);
  for (const std::size_t size : {64 * kKilobyte - 1, 64 * kKilobyte, 200 * kKilobyte})
    EXPECT_EQ(Send(size), "HTTP/1.1 431") << size;
  EXPECT_EQ(Send(1000), "");
}

}  // namespace
}  // namespace hawthorndrum
