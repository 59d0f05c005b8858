/// Tests of the HTTP client's timers when the loop is held up.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/metrics_registry.h"
#include "fake_random_source.h"
#include "http_call_listener.h"
#include "http_client.h"
#include "http_handler.h"
#include "http_server.h"

namespace hawthorndrum {
namespace {

constexpr auto kWaitTimeout = std::chrono::seconds(20);
constexpr duration kConnectTimeout = milliseconds(200);
/** The time that a test holds up the loop. */
constexpr auto kDelay = std::chrono::milliseconds(300);

class answering_handler : public http_handler {
 public:
  void OnRequest(request_id request, http_request) override {
    requests += 1;
    server->Answer(request, {200, {}, "done"});
  }
  void OnCallerGone(request_id) override {}

  http_server* server = nullptr;
  int requests = 0;
};

class result_listener : public http_call_listener {
 public:
  void OnHead(http_call_id, int code, std::vector<http_header>) override { status = code; }
  void OnBody(http_call_id, std::string) override {}
  void OnFinished(http_call_id) override { finished = true; }
  void OnLost(http_call_id, attempt_failure why, bool) override { lost = why; }
  bool has_ended() const { return finished || lost.has_value(); }

  int status = 0;
  bool finished = false;
  std::optional<attempt_failure> lost;
};

class ClientTimersTest : public testing::Test {
 protected:
  ClientTimersTest() : server(io, handler, random, metrics, "test", {}), client(io) {
    handler.server = &server;
    address = "127.0.0.1:" + std::to_string(*server.Listen("127.0.0.1:0"));
  }

  http_call Call() const {
    http_call call;
    call.address = address;
    call.request.method = "POST";
    call.request.target = "/x";
    call.resend = false;
    call.connect_timeout = kConnectTimeout;
    return call;
  }
  /** Runs `start` in a handler that then holds up the loop. */
  void RunWithDelay(const std::function<void()>& start) {
    boost::asio::post(io, [start] {
      start();
      std::this_thread::sleep_for(kDelay);
    });
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
  answering_handler handler;
  fake_random_source random;
  metrics_registry metrics;
  http_server server;
  http_client client;
  std::string address;
};

// Guards against the expired connect timer failing a call that was just sent.
TEST_F(ClientTimersTest, ADelayWhileConnectingFailsNoCallThatWasSent) {
  result_listener listener;
  RunWithDelay([&] { client.Start(Call(), listener); });
  ASSERT_TRUE(RunUntil([&] { return listener.has_ended(); }));
  EXPECT_FALSE(listener.lost.has_value());
  EXPECT_EQ(listener.status, 200);
  EXPECT_EQ(handler.requests, 1);
}

// Guards against the expired timer of a probe closing the connection that it opened.
TEST_F(ClientTimersTest, ADelayWhileProbingIsNoFailure) {
  std::vector<bool> results;
  RunWithDelay([&] {
    client.Probe(address, 5, kConnectTimeout,
                 [&](std::optional<attempt_failure> failure) { results.push_back(!failure); });
  });
  ASSERT_TRUE(RunUntil([&] { return !results.empty(); }));
  result_listener listener;
  http_call call = Call();
  call.owner = 5;
  client.Start(std::move(call), listener);
  ASSERT_TRUE(RunUntil([&] { return listener.has_ended(); }));
  EXPECT_EQ(results, std::vector<bool>{true});
  EXPECT_TRUE(listener.finished);
  EXPECT_EQ(metrics.Counter("http_connections_total", "server=\"test\"").value(), 1u);
}

}  // namespace
}  // namespace hawthorndrum
