/// A test's HTTP client, and an upstream whose bytes the test writes.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http_call_listener.h"
#include "http_client.h"

namespace hawthorndrum {

/** The maximum time that a test waits for an expected event. */
constexpr auto kExchangeTimeout = std::chrono::seconds(20);

class answer_recorder : public http_call_listener {
 public:
  void OnHead(http_call_id, int code, std::vector<http_header> fields) override {
    status = code;
    headers = std::move(fields);
  }
  void OnBody(http_call_id, std::string bytes) override { body += bytes; }
  void OnFinished(http_call_id) override { finished = true; }
  void OnFinishedByClose(http_call_id) override { finished = by_close = true; }
  void OnLost(http_call_id, attempt_failure why, bool) override { lost = why; }
  bool has_ended() const { return finished || lost.has_value(); }

  int status = 0;
  std::vector<http_header> headers;
  std::string body;
  bool finished = false;
  bool by_close = false;
  std::optional<attempt_failure> lost;
};

/** The test acts as the upstream: it accepts connections and writes arbitrary bytes to them. */
class ExchangeTest : public testing::Test {
 protected:
  ExchangeTest() : acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0}), client(io) {}

  http_call Call(const std::string& id, const std::string& body = {}) const {
    http_call call;
    call.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    call.request.method = "POST";
    call.request.target = "/x";
    call.request.body = body;
    call.resend = false;
    call.expected_answer = {"Id", id};
    return call;
  }
  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + kExchangeTimeout;
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(5));
    }
    return done();
  }
  boost::asio::ip::tcp::socket Accept() {
    std::optional<boost::asio::ip::tcp::socket> taken;
    acceptor.async_accept(
        [&](boost::system::error_code failed, boost::asio::ip::tcp::socket socket) {
          if (!failed) taken.emplace(std::move(socket));
        });
    EXPECT_TRUE(RunUntil([&] { return taken.has_value(); }));
    taken->non_blocking(true);
    return std::move(*taken);
  }
  /** Reads until `text` has arrived. */
  void ReadUntil(boost::asio::ip::tcp::socket& socket, const std::string& text) {
    std::string read;
    EXPECT_TRUE(RunUntil([&] {
      char bytes[65536];
      boost::system::error_code failed;
      read.append(bytes, socket.read_some(boost::asio::buffer(bytes), failed));
      return read.find(text) != std::string::npos;
    })) << text;
  }
  static void Write(boost::asio::ip::tcp::socket& socket, const std::string& bytes) {
    boost::asio::write(socket, boost::asio::buffer(bytes));
  }
  static std::string Answer(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor;
  http_client client;
};

}  // namespace hawthorndrum
