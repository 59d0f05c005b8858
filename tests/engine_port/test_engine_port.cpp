/// Tests of orders over HTTP: no order is sent after its send-by time, and each status maps to one
/// outcome.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics_registry.h"
#include "buffered_calls.h"
#include "fake_clock.h"
#include "fake_random_source.h"
#include "http_client.h"
#include "http_engine_port.h"
#include "http_handler.h"
#include "http_server.h"
#include "ports/event_sink.h"

namespace hawthorndrum {
namespace {

constexpr auto kWaitTimeout = std::chrono::seconds(20);

class recording_events : public event_sink {
 public:
  void Post(event new_event) override { events.push_back(std::move(new_event)); }
  std::vector<event> events;
};

class ignoring_listener : public order_listener {
 public:
  void OnOrderAnswer(const order_answer&) override {}
};

/** An engine that answers every order with `status`, or not at all if it is unset. */
class order_engine : public http_handler {
 public:
  void OnRequest(request_id request, http_request message) override {
    bodies.push_back(message.body);
    if (status) server->Answer(request, {*status, {}, R"({"term":9})"});
  }
  void OnCallerGone(request_id) override {}

  http_server* server = nullptr;
  std::optional<int> status = 202;
  std::vector<std::string> bodies;
};

class EnginePortTest : public testing::Test {
 protected:
  EnginePortTest()
      : server(io, engine, random, metrics, "engine", http_limits()),
        client(io),
        calls(client),
        port(calls, events, time) {
    engine.server = &server;
    address = "127.0.0.1:" + std::to_string(*server.Listen("127.0.0.1:0"));
    order.id = order_id(5);
    order.send_by = time.Now() + seconds(1);
  }

  order_answer Send() {
    events.events.clear();
    port.Order(address, order, listener);
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (events.events.empty() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
    if (events.events.empty()) return {};
    return std::get<order_answered>(events.events.front()).answer;
  }

  boost::asio::io_context io;
  fake_clock time;
  fake_random_source random;
  metrics_registry metrics;
  order_engine engine;
  http_server server;
  http_client client;
  buffered_calls calls;
  recording_events events;
  ignoring_listener listener;
  http_engine_port port;
  std::string address;
  engine_order order;
};

TEST_F(EnginePortTest, OrderInTimeGoesOutOnce) {
  EXPECT_EQ(Send().outcome, order_outcome::kAccepted);
  EXPECT_EQ(engine.bodies.size(), 1u);
}

TEST_F(EnginePortTest, OrderPastItsSendByTimeIsNeverSent) {
  time.Advance(seconds(1));
  EXPECT_EQ(Send().outcome, order_outcome::kNotSent);
  EXPECT_TRUE(engine.bodies.empty());
}

TEST_F(EnginePortTest, PauseBetweenConnectingAndWritingKeepsTheOrderBack) {
  // The clock advances after the call was started and before the connection is established.
  port.Order(address, order, listener);
  time.Advance(seconds(30));
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (events.events.empty() && std::chrono::steady_clock::now() < end) {
    io.restart();
    io.run_one_for(std::chrono::milliseconds(20));
  }
  ASSERT_FALSE(events.events.empty());
  EXPECT_EQ(std::get<order_answered>(events.events.front()).answer.outcome,
            order_outcome::kNotSent);
  EXPECT_TRUE(engine.bodies.empty());
}

TEST_F(EnginePortTest, EachStatusMapsToOneOutcome) {
  engine.status = 409;
  const order_answer stale = Send();
  EXPECT_EQ(stale.outcome, order_outcome::kStaleTerm);
  EXPECT_EQ(stale.seen_term, lease_term(9));
  engine.status = 423;
  EXPECT_EQ(Send().outcome, order_outcome::kBusy);
  engine.status = 500;
  EXPECT_EQ(Send().outcome, order_outcome::kUnknown);
  engine.status.reset();
  EXPECT_EQ(Send().outcome, order_outcome::kUnknown);
  server.StopListening();
  EXPECT_EQ(Send().outcome, order_outcome::kNotSent);
}

}  // namespace
}  // namespace hawthorndrum
