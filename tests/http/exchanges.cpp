/// Tests of the HTTP client against upstreams that answer early, late, twice or not at all.
#include <gtest/gtest.h>

#include <string>

#include "buffered_calls.h"
#include "exchange_fixture.h"

namespace hawthorndrum {
namespace {

using boost::asio::ip::tcp;

TEST_F(ExchangeTest, ALateAnswerToAnEarlierRequestIsPassedOver) {
  answer_recorder first;
  answer_recorder second;
  client.Start(Call("1"), first);
  tcp::socket upstream = Accept();
  ReadUntil(upstream, "POST /x");
  Write(upstream, Answer("1", "one"));
  ASSERT_TRUE(RunUntil([&] { return first.has_ended(); }));
  client.Start(Call("2"), second);
  ReadUntil(upstream, "POST /x");
  Write(upstream, Answer("1", "one again") + Answer("2", "two"));
  ASSERT_TRUE(RunUntil([&] { return second.has_ended(); }));
  EXPECT_EQ(second.body, "two");
}

TEST_F(ExchangeTest, ASecondCopyOfAnAnswerIsNotTakenForTheNextTryOfItsRequest) {
  answer_recorder refused;
  answer_recorder other;
  answer_recorder again;
  client.Start(Call("1"), refused);
  tcp::socket upstream = Accept();
  ReadUntil(upstream, "POST /x");
  Write(upstream, Answer("1", "not run"));
  ASSERT_TRUE(RunUntil([&] { return refused.has_ended(); }));
  client.Start(Call("2"), other);
  ReadUntil(upstream, "POST /x");
  Write(upstream, Answer("2", "two"));
  ASSERT_TRUE(RunUntil([&] { return other.has_ended(); }));
  client.Start(Call("1"), again);
  tcp::socket next = Accept();
  ReadUntil(next, "POST /x");
  Write(next, Answer("1", "run"));
  ASSERT_TRUE(RunUntil([&] { return again.has_ended(); }));
  EXPECT_EQ(again.body, "run");
}

// Guards against "not run" for a request that runs: an earlier refusal, written once more, has no
// id.
TEST_F(ExchangeTest, ACopyWithoutIdOfAnEarlierRefusalIsNotTakenForTheAnswer) {
  const auto call = [&](const std::string& id) {
    http_call made = Call(id);
    made.expected_answer.is_required = true;
    return made;
  };
  const std::string refusal = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  answer_recorder refused;
  answer_recorder running;
  client.Start(call("1"), refused);
  tcp::socket upstream = Accept();
  ReadUntil(upstream, "POST /x");
  Write(upstream, refusal);
  ASSERT_TRUE(RunUntil([&] { return refused.has_ended(); }));
  EXPECT_EQ(refused.status, 503) << "the first answer on a connection belongs to its first request";
  client.Start(call("2"), running);
  ReadUntil(upstream, "POST /x");
  Write(upstream, refusal);
  ASSERT_TRUE(RunUntil([&] { return running.has_ended(); }));
  EXPECT_EQ(running.status, 0);
  EXPECT_EQ(running.lost, attempt_failure::kMalformed);
}

TEST_F(ExchangeTest, AnAnswerWithNeitherLengthNorChunksIsWholeAtTheClose) {
  answer_recorder recorder;
  client.Start(Call("1"), recorder);
  tcp::socket upstream = Accept();
  ReadUntil(upstream, "POST /x");
  Write(upstream, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it");
  ASSERT_TRUE(RunUntil([&] { return recorder.body == "all of it"; }));
  EXPECT_FALSE(recorder.has_ended());
  upstream.close();
  ASSERT_TRUE(RunUntil([&] { return recorder.has_ended(); }));
  EXPECT_TRUE(recorder.by_close);
}

TEST_F(ExchangeTest, AnAnswerWithNeitherLengthNorChunksIsLostAtAReset) {
  answer_recorder recorder;
  client.Start(Call("1"), recorder);
  tcp::socket upstream = Accept();
  ReadUntil(upstream, "POST /x");
  Write(upstream, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf");
  ASSERT_TRUE(RunUntil([&] { return recorder.body == "half"; }));
  upstream.set_option(boost::asio::socket_base::linger(true, 0));
  upstream.close();
  ASSERT_TRUE(RunUntil([&] { return recorder.has_ended(); }));
  EXPECT_FALSE(recorder.finished);
  EXPECT_EQ(recorder.lost, attempt_failure::kConnectionLost);
}

TEST_F(ExchangeTest, BytesAfterAWholeAnswerEndTheConnection) {
  answer_recorder first;
  answer_recorder second;
  client.Start(Call("1"), first);
  tcp::socket upstream = Accept();
  ReadUntil(upstream, "POST /x");
  Write(upstream, Answer("1", "one") + "HTTP/1.1 200 OK\r\n");
  ASSERT_TRUE(RunUntil([&] { return first.has_ended(); }));
  EXPECT_EQ(first.body, "one");
  client.Start(Call("2"), second);
  tcp::socket fresh = Accept();
  ReadUntil(fresh, "POST /x");
  Write(fresh, Answer("2", "two"));
  ASSERT_TRUE(RunUntil([&] { return second.has_ended(); }));
  EXPECT_EQ(second.body, "two");
}

TEST_F(ExchangeTest, AnAnswerBeforeTheBodyWasReadIsTakenAndTheConnectionNotUsedAgain) {
  answer_recorder early;
  client.Start(Call("1", std::string(32 * 1024 * 1024, 'x')), early);
  tcp::socket upstream = Accept();
  Write(upstream, Answer("1", "refused"));
  ASSERT_TRUE(RunUntil([&] { return early.has_ended(); }));
  EXPECT_EQ(early.body, "refused");
  answer_recorder next;
  client.Start(Call("2"), next);
  tcp::socket fresh = Accept();
  ReadUntil(fresh, "POST /x");
  Write(fresh, Answer("2", "two"));
  ASSERT_TRUE(RunUntil([&] { return next.has_ended(); }));
  EXPECT_EQ(next.body, "two");
}

TEST_F(ExchangeTest, AnAnswerWithoutLengthEndsWithItsConnection) {
  answer_recorder whole;
  client.Start(Call("1"), whole);
  tcp::socket upstream = Accept();
  ReadUntil(upstream, "POST /x");
  Write(upstream, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it");
  upstream.close();
  ASSERT_TRUE(RunUntil([&] { return whole.has_ended(); }));
  EXPECT_TRUE(whole.finished);
  EXPECT_EQ(whole.body, "all of it");
}

TEST_F(ExchangeTest, AResetInTheMiddleIsNoEnd) {
  answer_recorder cut;
  client.Start(Call("1"), cut);
  tcp::socket upstream = Accept();
  ReadUntil(upstream, "POST /x");
  Write(upstream, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf");
  ASSERT_TRUE(RunUntil([&] { return cut.body == "half"; }));
  upstream.set_option(boost::asio::socket_base::linger(true, 0));
  upstream.close();
  ASSERT_TRUE(RunUntil([&] { return cut.has_ended(); }));
  EXPECT_FALSE(cut.finished);
}

TEST_F(ExchangeTest, ACallThatMustNotBeResentIsLostWithItsKeptConnection) {
  answer_recorder first;
  answer_recorder second;
  client.Start(Call("1"), first);
  tcp::socket upstream = Accept();
  ReadUntil(upstream, "POST /x");
  Write(upstream, Answer("1", "one"));
  ASSERT_TRUE(RunUntil([&] { return first.has_ended(); }));
  client.Start(Call("2"), second);
  ReadUntil(upstream, "POST /x");
  upstream.close();
  ASSERT_TRUE(RunUntil([&] { return second.has_ended(); }));
  EXPECT_EQ(second.lost, attempt_failure::kConnectionLost);
}

TEST_F(ExchangeTest, AnExpiredIdleConnectionIsNotUsed) {
  answer_recorder first;
  answer_recorder second;
  client.Start(Call("1"), first);
  tcp::socket upstream = Accept();
  ReadUntil(upstream, "POST /x");
  Write(upstream, "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return first.has_ended(); }));
  client.Start(Call("2"), second);
  tcp::socket fresh = Accept();
  ReadUntil(fresh, "POST /x");
}

// Guards against a report on a call that is not open, which read past the end of the open ones.
TEST_F(ExchangeTest, AReportOnACallThatIsNotOpenIsIgnored) {
  buffered_calls calls(client);
  const http_call_id closed(99);
  calls.OnHead(closed, 200, {});
  calls.OnBody(closed, "body");
  calls.OnFinished(closed);
  calls.OnLost(closed, attempt_failure::kTimeout, true);
  std::optional<buffered_answer> ended;
  calls.Start(Call("1"), 1024, [&](buffered_answer answer) { ended = std::move(answer); });
  tcp::socket upstream = Accept();
  upstream.close();
  ASSERT_TRUE(RunUntil([&] { return ended.has_value(); }));
  EXPECT_FALSE(ended->received);
}

TEST_F(ExchangeTest, AProbesConnectionIsKeptForTheNextCall) {
  std::optional<bool> connected;
  http_call call = Call("1");
  client.Probe(call.address, 5, kExchangeTimeout,
               [&](std::optional<attempt_failure> failure) { connected = !failure; });
  EXPECT_FALSE(connected.has_value());
  tcp::socket upstream = Accept();
  ASSERT_TRUE(RunUntil([&] { return connected.has_value(); }));
  EXPECT_TRUE(*connected);
  answer_recorder answer;
  call.owner = 5;
  client.Start(std::move(call), answer);
  ReadUntil(upstream, "POST /x");
}

TEST_F(ExchangeTest, AProbeOfAClosedPortReportsFailure) {
  const std::string address = Call("1").address;
  acceptor.close();
  std::optional<std::optional<attempt_failure>> ended;
  client.Probe(address, 5, kExchangeTimeout,
               [&](std::optional<attempt_failure> failure) { ended = failure; });
  ASSERT_TRUE(RunUntil([&] { return ended.has_value(); }));
  EXPECT_EQ(*ended, attempt_failure::kNotConnected);
}

// Guards against a cancelled call that still reaches its upstream: without a reset, a call that was
// cancelled during a network partition was delivered when the partition healed.
TEST_F(ExchangeTest, ACancelledCallIsResetAndNotFinished) {
  answer_recorder given_up;
  const http_call_id id = client.Start(Call("1", std::string(32 * 1024 * 1024, 'x')), given_up);
  tcp::socket upstream = Accept();
  ReadUntil(upstream, "POST /x");
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
