/// Tests of the command line against servers whose answers are none.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "../../src/hawthorndrumctl/http_client.h"

namespace hawthorndrum {
namespace {

using boost::asio::ip::tcp;

/** Returns the outcome of a call that is answered with the bytes. */
expected<http_answer> CallAnsweredWith(const std::string& bytes) {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  std::thread server([&] {
    tcp::socket socket = acceptor.accept();
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
    boost::asio::write(socket, boost::asio::buffer(bytes));
  });
  const std::string port = std::to_string(acceptor.local_endpoint().port());
  auto answer = CallHttp({"127.0.0.1:" + port, {}}, {"GET", "/admin/x", {}, {}}, seconds(20));
  server.join();
  return answer;
}

// Guards against a command that reports success on an answer that is none.
TEST(OddAnswers, AnAnswerWhoseStatusIsNoneIsAnError) {
  for (const std::string status : {"000", "101", "199", "600", "999"}) {
    const auto answer =
        CallAnsweredWith("HTTP/1.1 " + status + " Any\r\nContent-Length: 2\r\n\r\n{}");
    ASSERT_FALSE(answer) << status;
    EXPECT_EQ(answer.error().code, error_code::kUnknownOutcome) << status;
  }
}

TEST(OddAnswers, AnInterimAnswerPrecedesTheFinalOne) {
  const auto answer = CallAnsweredWith(
      "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->body, "{}");
}

}  // namespace
}  // namespace hawthorndrum
