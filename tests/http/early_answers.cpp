/// Tests of answers that begin before their request is written, and end with their connection.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>

#include "buffered_calls.h"
#include "exchange_fixture.h"

namespace hawthorndrum {
namespace {

using boost::asio::ip::tcp;

/** More than the buffers of both sockets hold. */
constexpr std::size_t kLongUpload = 32 * 1024 * 1024;
const char kUnframed[] = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n";

class EarlyAnswerTest : public ExchangeTest {
 protected:
  /** Starts an upload of which a part is sent, and returns its connection. */
  tcp::socket BeginUpload() {
    client.Start(Call("1", std::string(kLongUpload, 'x')), recorder);
    tcp::socket upstream = Accept();
    ReadUntil(upstream, "POST /x");
    return upstream;
  }
  static void Reset(tcp::socket& upstream) {
    upstream.set_option(boost::asio::socket_base::linger(true, 0));
    upstream.close();
  }
  bool HasEnded() {
    return RunUntil([&] { return recorder.has_ended(); });
  }

  answer_recorder recorder;
};

// Guards against part of an answer that counts as whole: the system reports a reset to one call
// only, and when that is the write, the next read sees an end.
TEST_F(EarlyAnswerTest, AResetDuringTheUploadIsNoEnd) {
  for (const bool is_head_read : {false, true}) {
    recorder = {};
    tcp::socket upstream = BeginUpload();
    Write(upstream, std::string(kUnframed) + "a part");
    if (is_head_read) {
      ASSERT_TRUE(RunUntil([&] { return recorder.body == "a part"; }));
    }
    Reset(upstream);
    ASSERT_TRUE(HasEnded());
    EXPECT_FALSE(recorder.finished) << is_head_read;
    EXPECT_EQ(recorder.lost, attempt_failure::kConnectionLost);
  }
}

TEST_F(EarlyAnswerTest, ABufferedAnswerIsNotReceivedAfterAReset) {
  buffered_calls calls(client);
  std::optional<buffered_answer> ended;
  calls.Start(Call("1", std::string(kLongUpload, 'x')), 1024,
              [&](buffered_answer answer) { ended = std::move(answer); });
  tcp::socket upstream = Accept();
  ReadUntil(upstream, "POST /x");
  Write(upstream, std::string(kUnframed) + "a part");
  Reset(upstream);
  ASSERT_TRUE(RunUntil([&] { return ended.has_value(); }));
  EXPECT_FALSE(ended->received);
}

TEST_F(EarlyAnswerTest, AnAnswerThatIsWholeByItsLengthStaysWholeAfterAReset) {
  tcp::socket upstream = BeginUpload();
  Write(upstream, Answer("1", "refused"));
  Reset(upstream);
  ASSERT_TRUE(HasEnded());
  EXPECT_TRUE(recorder.finished);
  EXPECT_EQ(recorder.body, "refused");
}

// An upstream may end its answer and read on until the request has ended.
TEST_F(EarlyAnswerTest, AnEndIsOneOnceTheUploadIsWritten) {
  tcp::socket upstream = BeginUpload();
  Write(upstream, std::string(kUnframed) + "all of it");
  upstream.shutdown(tcp::socket::shutdown_send);
  ASSERT_TRUE(RunUntil([&] { return recorder.body == "all of it"; }));
  EXPECT_FALSE(recorder.has_ended());
  std::string bytes(1024 * 1024, ' ');
  ASSERT_TRUE(RunUntil([&] {
    boost::system::error_code failed;
    upstream.read_some(boost::asio::buffer(bytes), failed);
    return recorder.has_ended();
  }));
  EXPECT_TRUE(recorder.by_close);
}

TEST_F(EarlyAnswerTest, AnEndBeforeAResetDuringTheUploadIsNone) {
  tcp::socket upstream = BeginUpload();
  Write(upstream, std::string(kUnframed) + "a part");
  upstream.shutdown(tcp::socket::shutdown_send);
  ASSERT_TRUE(RunUntil([&] { return recorder.body == "a part"; }));
  Reset(upstream);
  ASSERT_TRUE(HasEnded());
  EXPECT_FALSE(recorder.finished);
}

}  // namespace
}  // namespace hawthorndrum
