/// Tests of answers that no sound server sends.
#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

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

/** Lines that are no field of a head or trailer. */
const std::vector<std::string> kOddLines = {
    "Na me: x",    "Na\tme: x",   "Na\x01me: x",
    "Na\x7fme: x", "N\xe4me: x",  "Na(me: x",
    "Name : x",    "Name",        ": x",
    " : x",        " Name: x",    std::string("Na\0me: x", 8),
    "Name: a\x01", "Name: a\x7f", std::string("Name: a\0b", 9),
    "Name: a\rb",  "Name: a\nb",  "Name: a\r\r\n"};

// Guards against a line that is no field being passed on, or hiding where the body begins.
TEST_F(OddAnswerTest, ALineThatIsNoFieldMakesTheAnswerMalformed) {
  const std::string begin = "HTTP/1.1 200 OK\r\nId: 1\r\n";
  for (const std::string& line : kOddLines) {
    for (const std::string& bytes :
         {begin + line + "\r\nContent-Length: 4\r\n\r\nbody",
          "HTTP/1.1 200 OK\r\n" + line + "\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
          "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + AnswerOf("200"),
          begin + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line + "\r\n\r\n"}) {
      const answer_recorder& recorder = AnswerWith(bytes);
      EXPECT_FALSE(recorder.finished) << bytes;
      EXPECT_EQ(recorder.lost, attempt_failure::kMalformed) << bytes;
    }
  }
}

TEST_F(OddAnswerTest, AnAnswerWithTwoFramingsIsMalformed) {
  for (const std::string framing :
       {"Content-Length: 4\r\nContent-Length: 2\r\n", "Content-Length: 4, 2\r\n",
        "Content-Length: +4\r\n", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n"}) {
    const answer_recorder& recorder =
        AnswerWith("HTTP/1.1 200 OK\r\nId: 1\r\n" + framing + "\r\n4\r\nbody\r\n0\r\n\r\n");
    EXPECT_EQ(recorder.lost, attempt_failure::kMalformed) << framing;
  }
}

// Guards against a body that is passed on as it was coded, without the name of its coding.
TEST_F(OddAnswerTest, AnAnswerInAnUnknownTransferCodingIsMalformed) {
  for (const std::string coding : {"x", "gzip", "chunked, x", "gzip, chunked", "chunkedx", ""}) {
    const answer_recorder& recorder =
        AnswerWith("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: " + coding +
                   "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    EXPECT_EQ(recorder.lost, attempt_failure::kMalformed) << coding;
  }
  EXPECT_TRUE(AnswerWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"
                         "4\r\nbody\r\n0\r\n\r\n")
                  .finished);
}

// A trailer can't change how its answer was framed, nor become one of its header fields.
TEST_F(OddAnswerTest, ATrailerIsNoPartOfTheHead) {
  for (const std::string trailer : {"Content-Length: 2", "Transfer-Encoding: chunked", "Id: 2",
                                    "Connection: close", "Status: 500"}) {
    const answer_recorder& recorder = AnswerWith(
        "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\nbody\r\n0\r\n" +
        trailer + "\r\n\r\n");
    EXPECT_TRUE(!recorder.finished || recorder.body == "body") << trailer;
    EXPECT_EQ(recorder.headers.size(), 1u) << trailer;
  }
}

}  // namespace
}  // namespace hawthorndrum
