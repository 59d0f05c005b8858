/// Tests of requests that are counted, and refused, before they are read.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
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
constexpr std::size_t kLimit = 1024 * 1024;
constexpr std::size_t kLargeBody = 300'000;

class request_keeper : public http_handler {
 public:
  void OnRequest(request_id request, http_request message) override {
    ids.push_back(request);
    requests.push_back(std::move(message));
  }
  void OnCallerGone(request_id) override {}
  void OnRefusedUnread(std::uint64_t bytes, http_answer& refusal) override {
    refused.push_back(bytes);
    refusal.headers.push_back({"X-By", "handler"});
  }

  std::vector<request_id> ids;
  std::vector<http_request> requests;
  std::vector<std::uint64_t> refused;
};

class UnreadRequestsTest : public testing::Test {
 protected:
  UnreadRequestsTest() : server(io, handler, random, metrics, "test", {}, nullptr, budget) {
    port = *server.Listen("127.0.0.1:0");
  }
  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(5));
      EXPECT_LE(budget->held(), kLimit);
    }
    return done();
  }
  tcp::socket Send(const std::string& bytes) {
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    boost::asio::write(socket, boost::asio::buffer(bytes));
    socket.non_blocking(true);
    return socket;
  }
  /** Reads until the other side closes the connection. */
  std::string ReadAll(tcp::socket& socket) {
    std::string text;
    EXPECT_TRUE(RunUntil([&] {
      char bytes[4096];
      boost::system::error_code failed;
      text.append(bytes, socket.read_some(boost::asio::buffer(bytes), failed));
      return failed && failed != boost::asio::error::would_block;
    }));
    return text;
  }
  void ExpectRefusal(tcp::socket& socket, const char* name) {
    const std::string answer = ReadAll(socket);
    EXPECT_EQ(answer.rfind("HTTP/1.1 503", 0), 0u) << name << ": " << answer;
    for (const char* part :
         {"Retry-After: 0.", "Connection: close", "X-By: handler", "\"outcome\":\"not_run\""})
      EXPECT_NE(answer.find(part), std::string::npos) << name << ": " << part;
  }
  std::string Post(std::size_t length, const std::string& more = "") {
    return "POST / HTTP/1.1\r\nHost: a\r\n" + more + "Content-Length: " + std::to_string(length) +
           "\r\n\r\n";
  }

  boost::asio::io_context io;
  request_keeper handler;
  fake_random_source random;
  metrics_registry metrics;
  std::shared_ptr<byte_budget> budget = std::make_shared<byte_budget>(kLimit);
  http_server server;
  std::uint16_t port = 0;
};

// Guards against uploads that stall and take up the memory, or the places of small requests.
TEST_F(UnreadRequestsTest, WhatDoesNotFitIsRefusedAndSmallRequestsAreServed) {
  std::vector<tcp::socket> stalled;
  stalled.push_back(Send(Post(kLargeBody) + "a part"));
  stalled.push_back(Send(Post(kLargeBody) + "a part"));
  ASSERT_TRUE(RunUntil([&] { return budget->held() > 2 * kLargeBody; })) << "counted as declared";
  const std::string chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  const struct {
    const char* name;
    std::string bytes;
  } refused[] = {
      {"a third", Post(kLargeBody)},
      {"one that sends it all the same", Post(kLargeBody) + std::string(kLargeBody, 'x')},
      {"one that waits for 100", Post(kLargeBody, "Expect: 100-continue\r\n")},
      {"in chunks", chunked + "493e0\r\n" + std::string(kLargeBody, 'x') + "\r\n0\r\n\r\n"},
  };
  for (const auto& each : refused) {
    tcp::socket socket = Send(each.bytes);
    ExpectRefusal(socket, each.name);
  }
  EXPECT_EQ(handler.refused.size(), std::size(refused));
  EXPECT_EQ(metrics.Counter("http_requests_refused_unread_total", "server=\"test\"").value(),
            std::size(refused));
  EXPECT_TRUE(handler.requests.empty());
  tcp::socket small = Send(Post(60'000) + std::string(60'000, 'x'));
  ASSERT_TRUE(RunUntil([&] { return handler.requests.size() == 1; }));
  stalled.pop_back();
  ASSERT_TRUE(RunUntil([&] { return budget->held() < 2 * kLargeBody; }));
  tcp::socket third = Send(Post(kLargeBody) + std::string(kLargeBody, 'x'));
  ASSERT_TRUE(RunUntil([&] { return handler.requests.size() == 2; })) << "there is room again";
  EXPECT_EQ(handler.requests[1].body.size(), kLargeBody);
}

TEST_F(UnreadRequestsTest, WhatCanNeverFitIsRefusedAtOnce) {
  tcp::socket socket = Send(Post(kLimit));
  ExpectRefusal(socket, "larger than the budget");
  EXPECT_EQ(handler.refused, std::vector<std::uint64_t>{kLimit});
}

// Guards against a refused body, or what follows it, that is taken for requests.
TEST_F(UnreadRequestsTest, NothingBehindARefusedHeaderIsTakenForARequest) {
  const std::string further = "POST /further HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
  std::string body;
  while (body.size() < kLimit) body += further;
  for (const std::string& sent : {Post(body.size()) + body + further, Post(kLimit) + further}) {
    tcp::socket socket = Send(sent.substr(0, 60'000));
    const std::string answer = ReadAll(socket);
    EXPECT_EQ(answer.rfind("HTTP/1.1 503", 0), 0u) << answer;
    EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << "one answer: " << answer;
  }
  EXPECT_TRUE(handler.requests.empty());
  EXPECT_EQ(handler.refused.size(), 2u);
}

// Guards against small requests that have arrived and are refused for the room that others take.
TEST_F(UnreadRequestsTest, AWholeRequestWithinTheFirstReadIsNotRefused) {
  budget->Add(kLimit - kLimit / 16);
  std::vector<tcp::socket> callers;
  callers.push_back(Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  ASSERT_TRUE(RunUntil([&] { return handler.requests.size() + handler.refused.size() == 1; }));
  callers.push_back(Send(Post(9) + "all of it"));
  ASSERT_TRUE(RunUntil([&] { return handler.requests.size() + handler.refused.size() == 2; }));
  EXPECT_EQ(handler.requests.size(), 2u);
  budget->Remove(kLimit - kLimit / 16);
}

TEST_F(UnreadRequestsTest, HeadersThatStallCountToo) {
  constexpr std::size_t kStalled = 100;
  std::vector<tcp::socket> stalled;
  stalled.reserve(kStalled);
  for (std::size_t i = 0; i < kStalled; ++i)
    stalled.push_back(Send("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x')));
  ASSERT_TRUE(RunUntil([&] { return !handler.refused.empty(); }));
  tcp::socket whole = Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(RunUntil([&] { return handler.requests.size() == 1; }));
  for (tcp::socket& each : stalled) each.close();
  whole.close();
  handler.requests.clear();
  EXPECT_TRUE(RunUntil([&] { return budget->held() == 0; }));
}

TEST_F(UnreadRequestsTest, ABodyThatStallsCountsUntilItsTimeout) {
  http_limits limits;
  limits.body_timeout = milliseconds(200);
  server.SetLimits(limits);
  tcp::socket whole = Send(Post(kLargeBody) + "a part");
  tcp::socket chunked =
      Send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\na par");
  ASSERT_TRUE(RunUntil([&] { return budget->held() > kLargeBody; }));
  EXPECT_EQ(ReadAll(whole), "");
  EXPECT_EQ(ReadAll(chunked), "");
  EXPECT_TRUE(RunUntil([&] { return budget->held() == 0; }));
  EXPECT_TRUE(handler.requests.empty());
}

// Guards against bytes that count twice or for ever: a request counts until its handler drops it,
// an answer until it is written or its connection closed.
TEST_F(UnreadRequestsTest, RequestsAndUnsentAnswersCountWhileTheyLast) {
  constexpr std::size_t kAnswer = 900'000;
  tcp::socket caller = Send(Post(50'000) + std::string(50'000, 'x'));
  ASSERT_TRUE(RunUntil([&] { return handler.requests.size() == 1; }));
  EXPECT_GE(budget->held(), 50'000u);
  EXPECT_LT(budget->held(), 2 * 50'000u);
  handler.requests.clear();
  EXPECT_EQ(budget->held(), 0u);
  server.Answer(handler.ids[0], {200, {}, std::string(kAnswer, 'y')});
  EXPECT_GE(budget->held(), kAnswer);
  std::string read;
  ASSERT_TRUE(RunUntil([&] {
    char bytes[65536];
    boost::system::error_code failed;
    read.append(bytes, caller.read_some(boost::asio::buffer(bytes), failed));
    return read.size() > kAnswer;
  }));
  EXPECT_TRUE(RunUntil([&] { return budget->held() == 0; }));
}

TEST(ByteBudget, LargeRequestsLeaveRoomForSmallOnesAndTheseForAnswers) {
  byte_budget budget(kLimit);
  budget.Add(kLimit - kLimit / 4);
  EXPECT_FALSE(budget.MayRead(0, 64 * 1024 + 1));
  EXPECT_TRUE(budget.MayRead(kLargeBody, kLargeBody)) << "counted already";
  EXPECT_TRUE(budget.MayRead(0, 64 * 1024));
  budget.Add(kLimit / 8);
  EXPECT_FALSE(budget.MayRead(0, 1));
  EXPECT_TRUE(budget.MaySend(0, kLimit / 16)) << "a body and its copy";
  EXPECT_FALSE(budget.MaySend(0, kLimit / 16 + 1));
  EXPECT_TRUE(budget.MaySend(kLimit / 16, kLimit / 16 + kLimit / 32)) << "counted once already";
  const std::size_t most = static_cast<std::size_t>(-1);
  EXPECT_FALSE(byte_budget(kLimit).MayRead(0, most));
  EXPECT_FALSE(byte_budget(kLimit).MaySend(0, most));
}

}  // namespace
}  // namespace hawthorndrum
