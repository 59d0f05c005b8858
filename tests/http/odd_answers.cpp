/// Tests of answers that no sound server sends.
#include <gtest/gtest.h>

#include <deque>
#include <string>

#include "exchange_fixture.h"

namespace hawthorndrum {
namespace {

using boost::asio::ip::tcp;

class OddAnswerTest : public ExchangeTest {
 protected:
  /** Answers a call with the bytes, and runs until the call ends; the connection stays open. */
  const answer_recorder& AnswerWith(const std::string& bytes) {
    answer_recorder& recorder = recorders.emplace_back();
    client.Start(Call("1"), recorder);
    tcp::socket upstream = Accept();
    ReadUntil(upstream, "POST /x");
    Write(upstream, bytes);
    EXPECT_TRUE(RunUntil([&] { return recorder.has_ended(); })) << bytes;
    return recorder;
  }
  static std::string AnswerOf(const std::string& status) {
    return "HTTP/1.1 " + status + " Any\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody";
  }

  /** Of all calls, which may not end. */
  std::deque<answer_recorder> recorders;
};

// Guards against callers that wait for a further answer, or get one with a status that is none.
TEST_F(OddAnswerTest, AnAnswerWhoseStatusIsNoneIsMalformed) {
  for (const char* status :
       {"000", "001", "099", "100", "101", "199", "600", "999", "20", "2000", "-20", "2x0", ""}) {
    const answer_recorder& recorder = AnswerWith(AnswerOf(status));
    EXPECT_EQ(recorder.lost, attempt_failure::kMalformed) << status;
    EXPECT_EQ(recorder.status, 0) << status;
  }
  const std::string upgrade = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n";
  EXPECT_EQ(AnswerWith(upgrade).lost, attempt_failure::kMalformed) << "none was asked for";
}

TEST_F(OddAnswerTest, EveryStatusOfAFinalAnswerIsPassedOn) {
  for (const int status : {200, 207, 299, 300, 404, 499, 500, 599}) {
    const answer_recorder& recorder = AnswerWith(AnswerOf(std::to_string(status)));
    EXPECT_EQ(recorder.status, status);
    EXPECT_EQ(recorder.body, "body");
  }
}

TEST_F(OddAnswerTest, InterimAnswersPrecedeTheFinalOne) {
  for (const std::string status : {"100 Continue", "103 Early Hints", "150 Any"}) {
    const answer_recorder& recorder =
        AnswerWith("HTTP/1.1 " + status + "\r\nLink: x\r\n\r\n" + AnswerOf("200"));
    EXPECT_EQ(recorder.status, 200) << status;
    EXPECT_EQ(recorder.body, "body") << status;
  }
}

}  // namespace
}  // namespace hawthorndrum
