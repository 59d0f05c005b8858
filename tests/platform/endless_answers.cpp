/// Tests of calls of this daemon's own that are answered with bytes without end.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/byte_budget.h"
#include "buffered_calls.h"
#include "engine_control.h"
#include "fake_clock.h"
#include "http_client.h"
#include "ports/event_sink.h"

namespace hawthorndrum {
namespace {

using boost::asio::ip::tcp;

/** More than both sockets buffer, and than any answer to such a call has. */
constexpr std::size_t kFlood = 32 * 1024 * 1024;

/** Answers each connection with a body without end. */
class flooding_server {
 public:
  explicit flooding_server(boost::asio::io_context& io)
      : acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  std::size_t written = 0;

 private:
  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code failed, tcp::socket socket) {
      if (failed) return;
      auto kept = std::make_shared<tcp::socket>(std::move(socket));
      Write(kept, std::make_shared<std::string>("HTTP/1.1 200 OK\r\n\r\n"));
      Accept();
    });
  }
  void Write(std::shared_ptr<tcp::socket> to, std::shared_ptr<std::string> bytes) {
    boost::asio::async_write(*to, boost::asio::buffer(*bytes),
                             [this, to, bytes](boost::system::error_code failed, std::size_t size) {
                               written += size;
                               if (failed || written >= kFlood) return;
                               Write(to, std::make_shared<std::string>(64 * 1024, 'x'));
                             });
  }

  tcp::acceptor acceptor_;
};

struct recording_events : public event_sink {
  void Post(event posted) override {
    if (const auto* answered = std::get_if<order_answered>(&posted))
      outcome = answered->answer.outcome;
  }
  std::optional<order_outcome> outcome;
};

class OwnCallsTest : public testing::Test {
 protected:
  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done() && server.written < kFlood && std::chrono::steady_clock::now() < end)
      io.run_one_for(std::chrono::milliseconds(5));
    return done();
  }

  boost::asio::io_context io;
  http_client client{io};
  flooding_server server{io};
};

// Guards against reports of engines in trouble, each kept up to 64 MiB.
TEST_F(OwnCallsTest, AReportWithoutEndIsGivenUp) {
  recording_events events;
  fake_clock clock;
  engine_control control(client, events, clock, "north-1");
  struct : order_listener {
    void OnOrderAnswer(const order_answer&) override {}
  } listener;
  control.Order(server.address(), engine_order{}, listener);
  ASSERT_TRUE(RunUntil([&] { return events.outcome.has_value(); }));
  EXPECT_EQ(events.outcome, order_outcome::kNotSent);
  EXPECT_EQ(client.open_calls(), 0u);
}

TEST_F(OwnCallsTest, WhatIsBufferedCountsUntilTheCallEnds) {
  const auto budget = std::make_shared<byte_budget>(64 * 1024 * 1024);
  buffered_calls calls(client, budget);
  constexpr std::size_t kLongest = 1024 * 1024;
  http_call call;
  call.address = server.address();
  call.request.method = "GET";
  call.request.target = "/";
  std::optional<buffered_answer> ended;
  std::size_t most = 0;
  calls.Start(std::move(call), kLongest,
              [&](buffered_answer answer) { ended = std::move(answer); });
  ASSERT_TRUE(RunUntil([&] {
    most = std::max(most, budget->held());
    return ended.has_value();
  }));
  EXPECT_TRUE(ended->is_too_long);
  EXPECT_FALSE(ended->received);
  EXPECT_GT(most, 0u);
  EXPECT_LE(most, kLongest);
  EXPECT_EQ(budget->held(), 0u);
}

}  // namespace
}  // namespace hawthorndrum
