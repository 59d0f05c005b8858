/// Tests of the port on which a daemon takes requests of other daemons, over real connections.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "answer_router.h"
#include "base/metrics_registry.h"
#include "fake_random_source.h"
#include "gateway_endpoint.h"
#include "http_client.h"
#include "http_upstream_calls.h"
#include "ports/event_sink.h"
#include "relay_endpoint.h"

namespace hawthorndrum {
namespace {

constexpr auto kWaitTimeout = std::chrono::seconds(20);

class recorded_events : public event_sink {
 public:
  void Post(event new_event) override { all.push_back(std::move(new_event)); }
  template <typename Event>
  std::vector<Event> Of() const {
    std::vector<Event> found;
    for (const event& each : all) {
      if (const auto* match = std::get_if<Event>(&each)) found.push_back(*match);
    }
    return found;
  }

  std::vector<event> all;
};

class RelayPortsTest : public testing::Test {
 protected:
  RelayPortsTest()
      : daemons("self"),
        caller_endpoint(arrived, arrived_at_callers),
        relay(arrived, daemons),
        callers(io, caller_endpoint, random, metrics, "callers", {}),
        relays(io, relay, random, metrics, "daemons", {}),
        answers(callers, relays),
        client(io),
        calls(client, reported, "X-Id") {
    caller_address = "127.0.0.1:" + std::to_string(*callers.Listen("127.0.0.1:0"));
    relay_address = "127.0.0.1:" + std::to_string(*relays.Listen("127.0.0.1:0"));
  }
  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(5));
    }
    return done();
  }
  void ListThisHost() { daemons.Replace({{"g2", "127.0.0.1:7600", "north"}}); }
  void Send(const std::string& address) {
    upstream_call call;
    call.attempt = attempt_id(++last_attempt);
    call.address = address;
    call.request.method = "GET";
    call.request.target = "/a";
    call.longest_idle = seconds(8);
    calls.Send(std::move(call));
  }
  bool WaitForArrival(std::size_t count) {
    return RunUntil([&] { return arrived.Of<request_arrived>().size() >= count; });
  }
  bool WaitForAnswer(std::size_t count) {
    return RunUntil([&] { return reported.Of<attempt_finished>().size() >= count; });
  }

  /** Posts the requests of callers, like gateway_endpoint, and counts them. */
  class counting_endpoint : public gateway_endpoint {
   public:
    counting_endpoint(event_sink& events, int& count) : gateway_endpoint(events), count_(count) {}
    void OnRequest(request_id request, http_request message) override {
      ++count_;
      gateway_endpoint::OnRequest(request, std::move(message));
    }

   private:
    int& count_;
  };

  boost::asio::io_context io;
  fake_random_source random;
  metrics_registry metrics;
  recorded_events arrived;
  recorded_events reported;
  int arrived_at_callers = 0;
  daemon_directory daemons;
  counting_endpoint caller_endpoint;
  relay_endpoint relay;
  http_server callers;
  http_server relays;
  answer_router answers;
  http_client client;
  http_upstream_calls calls;
  std::string caller_address;
  std::string relay_address;
  std::uint64_t last_attempt = 0;
};

TEST_F(RelayPortsTest, AHostThatIsNotListedIsDeclinedAndTheListReadAgain) {
  Send(relay_address);
  ASSERT_TRUE(WaitForAnswer(1));
  std::vector<http_header> headers = reported.Of<attempt_head>()[0].headers;
  EXPECT_EQ(reported.Of<attempt_head>()[0].status, 503);
  EXPECT_EQ(TakeRelayAnswer(headers).outcome, relay_outcome::kUnavailable);
  EXPECT_TRUE(arrived.all.empty());
  EXPECT_TRUE(daemons.TakeRefreshRequest());
}

TEST_F(RelayPortsTest, EachAnswerGoesOutWhereItsRequestArrived) {
  ListThisHost();
  Send(relay_address);
  ASSERT_TRUE(WaitForArrival(1));
  Send(caller_address);
  ASSERT_TRUE(WaitForArrival(2));
  const auto requests = arrived.Of<request_arrived>();
  EXPECT_TRUE(requests[0].from_peer);
  EXPECT_FALSE(requests[1].from_peer);
  EXPECT_EQ(arrived_at_callers, 1);
  answers.Answer(requests[1].request, {200, {}, "of a caller"});
  answers.Begin(requests[0].request, 200, {});
  answers.Write(requests[0].request, "of a daemon");
  answers.End(requests[0].request);
  ASSERT_TRUE(WaitForAnswer(2));
  for (const attempt_bytes& bytes : reported.Of<attempt_bytes>())
    EXPECT_EQ(bytes.bytes, bytes.attempt == attempt_id(1) ? "of a daemon" : "of a caller");
}

TEST_F(RelayPortsTest, OnlyNewConnectionsAreReported) {
  ListThisHost();
  for (std::size_t i = 1; i <= 2; ++i) {
    Send(relay_address);
    ASSERT_TRUE(WaitForArrival(i));
    answers.Answer(arrived.Of<request_arrived>().back().request, {200, {}, "a"});
    ASSERT_TRUE(WaitForAnswer(i));
  }
  const auto connected = reported.Of<attempt_connected>();
  ASSERT_EQ(connected.size(), 1u);
  EXPECT_EQ(connected[0].attempt, attempt_id(1));
}

}  // namespace
}  // namespace hawthorndrum
