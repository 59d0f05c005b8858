/// The HTTP client against upstreams that answer early, late, twice or not at all.
#include <gtest/gtest.h>

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

constexpr auto kPatience = std::chrono::seconds(20);

class kept_answer : public http_call_listener {
 public:
  void OnHead(http_call_id, int code, std::vector<http_header>) override { status = code; }
  void OnBody(http_call_id, std::string bytes) override { body += bytes; }
  void OnFinished(http_call_id) override { finished = true; }
  void OnLost(http_call_id, attempt_failure why, bool) override { lost = why; }
  bool over() const { return finished || lost.has_value(); }

  int status = 0;
  std::string body;
  bool finished = false;
  std::optional<attempt_failure> lost;
};

/** The test is the upstream: it accepts connections and writes what it likes on them. */
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
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(5));
    }
    return done();
  }
  tcp::socket Accept() {
    std::optional<tcp::socket> taken;
    acceptor.async_accept([&](boost::system::error_code failed, tcp::socket socket) {
      if (!failed) taken.emplace(std::move(socket));
    });
    EXPECT_TRUE(RunUntil([&] { return taken.has_value(); }));
    taken->non_blocking(true);
    return std::move(*taken);
  }
  /** Reads until the text came. */
  void Expect(tcp::socket& socket, const std::string& text) {
    std::string read;
    EXPECT_TRUE(RunUntil([&] {
      char bytes[65536];
      boost::system::error_code failed;
      read.append(bytes, socket.read_some(boost::asio::buffer(bytes), failed));
      return read.find(text) != std::string::npos;
    })) << text;
  }
  static void Write(tcp::socket& socket, const std::string& bytes) {
    boost::asio::write(socket, boost::asio::buffer(bytes));
  }
  static std::string Answer(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  boost::asio::io_context io;
  tcp::acceptor acceptor;
  http_client client;
};

TEST_F(ExchangeTest, ALateAnswerToAnEarlierRequestIsPassedOver) {
  kept_answer first;
  kept_answer second;
  client.Start(Call("1"), first);
  tcp::socket upstream = Accept();
  Expect(upstream, "POST /x");
  Write(upstream, Answer("1", "one"));
  ASSERT_TRUE(RunUntil([&] { return first.over(); }));
  client.Start(Call("2"), second);
  Expect(upstream, "POST /x");
  Write(upstream, Answer("1", "one again") + Answer("2", "two"));
  ASSERT_TRUE(RunUntil([&] { return second.over(); }));
  EXPECT_EQ(second.body, "two");
}

TEST_F(ExchangeTest, BytesAfterAWholeAnswerEndTheConnection) {
  kept_answer first;
  kept_answer second;
  client.Start(Call("1"), first);
  tcp::socket upstream = Accept();
  Expect(upstream, "POST /x");
  Write(upstream, Answer("1", "one") + "HTTP/1.1 200 OK\r\n");
  ASSERT_TRUE(RunUntil([&] { return first.over(); }));
  EXPECT_EQ(first.body, "one");
  client.Start(Call("2"), second);
  tcp::socket fresh = Accept();
  Expect(fresh, "POST /x");
  Write(fresh, Answer("2", "two"));
  ASSERT_TRUE(RunUntil([&] { return second.over(); }));
  EXPECT_EQ(second.body, "two");
}

TEST_F(ExchangeTest, AnAnswerBeforeTheBodyWasReadIsTakenAndTheConnectionNotUsedAgain) {
  kept_answer early;
  client.Start(Call("1", std::string(32 * 1024 * 1024, 'x')), early);
  tcp::socket upstream = Accept();
  Write(upstream, Answer("1", "refused"));
  ASSERT_TRUE(RunUntil([&] { return early.over(); }));
  EXPECT_EQ(early.body, "refused");
  kept_answer next;
  client.Start(Call("2"), next);
  tcp::socket fresh = Accept();
  Expect(fresh, "POST /x");
  Write(fresh, Answer("2", "two"));
  ASSERT_TRUE(RunUntil([&] { return next.over(); }));
  EXPECT_EQ(next.body, "two");
}

TEST_F(ExchangeTest, AnAnswerWithoutLengthEndsWithItsConnection) {
  kept_answer whole;
  client.Start(Call("1"), whole);
  tcp::socket upstream = Accept();
  Expect(upstream, "POST /x");
  Write(upstream, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it");
  upstream.close();
  ASSERT_TRUE(RunUntil([&] { return whole.over(); }));
  EXPECT_TRUE(whole.finished);
  EXPECT_EQ(whole.body, "all of it");
}

TEST_F(ExchangeTest, AResetInTheMiddleIsNoEnd) {
  kept_answer cut;
  client.Start(Call("1"), cut);
  tcp::socket upstream = Accept();
  Expect(upstream, "POST /x");
  Write(upstream, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf");
  ASSERT_TRUE(RunUntil([&] { return cut.body == "half"; }));
  upstream.set_option(boost::asio::socket_base::linger(true, 0));
  upstream.close();
  ASSERT_TRUE(RunUntil([&] { return cut.over(); }));
  EXPECT_FALSE(cut.finished);
}

TEST_F(ExchangeTest, ACallThatMustNotBeResentIsLostWithItsKeptConnection) {
  kept_answer first;
  kept_answer second;
  client.Start(Call("1"), first);
  tcp::socket upstream = Accept();
  Expect(upstream, "POST /x");
  Write(upstream, Answer("1", "one"));
  ASSERT_TRUE(RunUntil([&] { return first.over(); }));
  client.Start(Call("2"), second);
  Expect(upstream, "POST /x");
  upstream.close();
  ASSERT_TRUE(RunUntil([&] { return second.over(); }));
  EXPECT_EQ(second.lost, attempt_failure::kConnectionLost);
}

TEST_F(ExchangeTest, AnIdleConnectionPastItsTimeIsNotUsed) {
  kept_answer first;
  kept_answer second;
  client.Start(Call("1"), first);
  tcp::socket upstream = Accept();
  Expect(upstream, "POST /x");
  Write(upstream, "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return first.over(); }));
  client.Start(Call("2"), second);
  tcp::socket fresh = Accept();
  Expect(fresh, "POST /x");
}

TEST_F(ExchangeTest, AProbesConnectionIsKeptForTheNextCall) {
  std::optional<bool> connected;
  http_call call = Call("1");
  client.Probe(call.address, 5, kPatience, [&](bool opened) { connected = opened; });
  EXPECT_FALSE(connected.has_value());
  tcp::socket upstream = Accept();
  ASSERT_TRUE(RunUntil([&] { return connected.has_value(); }));
  EXPECT_TRUE(*connected);
  kept_answer answer;
  call.owner = 5;
  client.Start(std::move(call), answer);
  Expect(upstream, "POST /x");
}

TEST_F(ExchangeTest, AProbeOfAClosedPortTellsSo) {
  const std::string address = Call("1").address;
  acceptor.close();
  std::optional<bool> connected;
  client.Probe(address, 5, kPatience, [&](bool opened) { connected = opened; });
  ASSERT_TRUE(RunUntil([&] { return connected.has_value(); }));
  EXPECT_FALSE(*connected);
}

// Found on the bench: a call that was given up in a partition reached its upstream when it healed.
TEST_F(ExchangeTest, ACancelledCallIsResetAndNotFinished) {
  kept_answer given_up;
  const http_call_id id = client.Start(Call("1", std::string(32 * 1024 * 1024, 'x')), given_up);
  tcp::socket upstream = Accept();
  Expect(upstream, "POST /x");
  client.Cancel(id);
  boost::system::error_code failed;
  std::size_t read = 0;
  RunUntil([&] {
    if (failed && failed != boost::asio::error::would_block) return true;
    char bytes[65536];
    read += upstream.read_some(boost::asio::buffer(bytes), failed);
    return false;
  });
  EXPECT_EQ(failed, boost::asio::error::connection_reset);
  EXPECT_LT(read, 32u * 1024 * 1024);
}

}  // namespace
}  // namespace hawthorndrum
