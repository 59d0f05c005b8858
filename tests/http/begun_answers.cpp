/// Tests of answers that have begun, and of answers' heads that break off, by the bytes sent.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "base/metrics_registry.h"
#include "fake_random_source.h"
#include "http_call_listener.h"
#include "http_client.h"
#include "http_handler.h"
#include "http_server.h"

namespace hawthorndrum {
namespace {

using boost::asio::ip::tcp;

constexpr auto kWaitTimeout = std::chrono::seconds(20);

class id_recorder : public http_handler {
 public:
  void OnRequest(request_id request, http_request) override { last = request; }
  void OnCallerGone(request_id) override {}

  std::optional<request_id> last;
};

class answer_recorder : public http_call_listener {
 public:
  void OnHead(http_call_id, int code, std::vector<http_header>) override { status = code; }
  void OnBody(http_call_id, std::string bytes) override { body += bytes; }
  void OnFinished(http_call_id) override { finished = true; }
  void OnLost(http_call_id, attempt_failure why, bool) override { lost = why; }
  bool has_ended() const { return finished || lost.has_value(); }

  int status = 0;
  std::string body;
  bool finished = false;
  std::optional<attempt_failure> lost;
};

class BegunAnswersTest : public testing::Test {
 protected:
  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(5));
    }
    return done();
  }
  /** Sends a request to the server and returns the connection when it was read. */
  tcp::socket Ask(const std::string& version) {
    if (!server)
      server = std::make_unique<http_server>(io, handler, random, metrics, "test", http_limits());
    if (port == 0) port = *server->Listen("127.0.0.1:0");
    handler.last.reset();
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    socket.non_blocking(true);
    const std::string request = "GET /a " + version + "\r\nHost: a\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    EXPECT_TRUE(RunUntil([&] { return handler.last.has_value(); }));
    return socket;
  }
  /** Reads until the connection ends, and returns how it did. */
  boost::system::error_code ReadAll(tcp::socket& socket, std::string& text) {
    boost::system::error_code ended;
    EXPECT_TRUE(RunUntil([&] {
      if (ended) return true;
      char bytes[4096];
      boost::system::error_code failed;
      text.append(bytes, socket.read_some(boost::asio::buffer(bytes), failed));
      if (failed && failed != boost::asio::error::would_block) ended = failed;
      return static_cast<bool>(ended);
    }));
    return ended;
  }
  /** Reads what has arrived until `text` ends with `tail`. */
  void ReadUntil(tcp::socket& socket, const std::string& tail) {
    std::string text;
    EXPECT_TRUE(RunUntil([&] {
      char bytes[4096];
      boost::system::error_code failed;
      text.append(bytes, socket.read_some(boost::asio::buffer(bytes), failed));
      return text.find(tail) != std::string::npos;
    }));
  }

  boost::asio::io_context io;
  id_recorder handler;
  fake_random_source random;
  metrics_registry metrics;
  std::unique_ptr<http_server> server;
  std::uint16_t port = 0;
};

// Guards against an error whose head and text stand in the middle of an answer that has begun.
TEST_F(BegunAnswersTest, NoSecondAnswerIsWrittenIntoAnAnswerThatHasBegun) {
  for (const std::string version : {"HTTP/1.1", "HTTP/1.0"}) {
    tcp::socket socket = Ask(version);
    server->Begin(*handler.last, 200, {});
    server->Write(*handler.last, "first");
    server->Answer(*handler.last, {502, {}, "sorry"});
    std::string text;
    ReadAll(socket, text);
    EXPECT_EQ(text.find("502"), std::string::npos) << version << ": " << text;
    EXPECT_EQ(text.find("sorry"), std::string::npos) << version << ": " << text;
    EXPECT_EQ(text.find("0\r\n\r\n"), std::string::npos) << version << ": " << text;
  }
}

TEST_F(BegunAnswersTest, AnAnswerBeginsOnce) {
  tcp::socket socket = Ask("HTTP/1.1");
  server->Begin(*handler.last, 200, {});
  server->Write(*handler.last, "first");
  server->Begin(*handler.last, 200, {});
  std::string text;
  ReadAll(socket, text);
  EXPECT_EQ(text.find("HTTP/1.1 200", 1), std::string::npos) << text;
  EXPECT_EQ(text.find("0\r\n\r\n"), std::string::npos) << text;
}

// Guards against an answer without length or chunks that ends like a whole one when it is cut.
TEST_F(BegunAnswersTest, AnAnswerThatIsCutDoesNotLookWholeWithoutChunks) {
  tcp::socket socket = Ask("HTTP/1.0");
  server->Begin(*handler.last, 200, {});
  server->Write(*handler.last, "first");
  ReadUntil(socket, "first");
  server->Abort(*handler.last);
  std::string text;
  EXPECT_EQ(ReadAll(socket, text), boost::asio::error::connection_reset);
}

TEST_F(BegunAnswersTest, AWholeAnswerWithoutChunksEndsWithItsConnection) {
  tcp::socket socket = Ask("HTTP/1.0");
  server->Begin(*handler.last, 200, {});
  server->Write(*handler.last, "all of it");
  server->End(*handler.last);
  std::string text;
  EXPECT_EQ(ReadAll(socket, text), boost::asio::error::eof);
  EXPECT_EQ(text.substr(text.find("\r\n\r\n") + 4), "all of it");
}

/** The test acts as the upstream, whose answer ends after any of its bytes. */
class BrokenHeadsTest : public BegunAnswersTest {
 protected:
  BrokenHeadsTest() : acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0}), client(io) {}

  tcp::socket Accept() {
    std::optional<tcp::socket> taken;
    acceptor.async_accept([&](boost::system::error_code failed, tcp::socket socket) {
      if (!failed) taken.emplace(std::move(socket));
    });
    EXPECT_TRUE(RunUntil([&] { return taken.has_value(); }));
    taken->non_blocking(true);
    return std::move(*taken);
  }
  http_call Call() const {
    http_call call;
    call.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    call.request.method = "POST";
    call.request.target = "/x";
    call.resend = false;
    return call;
  }
  void Start(answer_recorder& recorder) { client.Start(Call(), recorder); }

  tcp::acceptor acceptor;
  http_client client;
};

struct cut_answer {
  const char* name;
  std::string head;
  std::string body;
  /** Whether the answer is one if it doesn't break off. */
  bool is_sound = true;
};

std::vector<cut_answer> Answers() {
  const std::string status = "HTTP/1.1 200 OK\r\nSeal: s\r\n";
  return {
      {"length", status + "Content-Length: 5\r\n\r\n", "whole"},
      {"length last", status + "Content-Type: text/plain\r\nContent-Length: 5\r\n\r\n", "whole"},
      {"chunks", status + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nwhole\r\n0\r\n\r\n"},
      {"folded header", status + "Note: a\r\n b\r\nContent-Length: 5\r\n\r\n", "whole", false}};
}

// Guards against a 200 with an empty or short body for an answer that broke off.
TEST_F(BrokenHeadsTest, AnAnswerThatBreaksOffIsNeverWhole) {
  for (const cut_answer& answer : Answers()) {
    const std::string whole = answer.head + answer.body;
    for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
      for (const bool is_kept : {false, true}) {
        answer_recorder earlier;
        answer_recorder recorder;
        Start(is_kept ? earlier : recorder);
        tcp::socket upstream = Accept();
        ReadUntil(upstream, "\r\n\r\n");
        if (is_kept) {
          const std::string before =
              answer.is_sound ? whole : Answers().front().head + Answers().front().body;
          boost::asio::write(upstream, boost::asio::buffer(before));
          ASSERT_TRUE(RunUntil([&] { return earlier.has_ended(); }));
          Start(recorder);
          ReadUntil(upstream, "\r\n\r\n");
        }
        boost::asio::write(upstream, boost::asio::buffer(whole.data(), cut));
        upstream.close();
        ASSERT_TRUE(RunUntil([&] { return recorder.has_ended(); }));
        const std::string where = answer.name + (" at " + std::to_string(cut));
        EXPECT_EQ(recorder.finished, answer.is_sound && cut == whole.size()) << where;
        EXPECT_EQ(recorder.status != 0, answer.is_sound && cut >= answer.head.size()) << where;
      }
    }
  }
}

}  // namespace
}  // namespace hawthorndrum
