/// One connection of the HTTP server over a given type of stream.
#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ssl/stream_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

#include "base/byte_claim.h"
#include "http_session.h"
#include "http_session_owner.h"
#include "http_wire.h"

namespace hawthorndrum {

/**
 * Reads requests one after another, detects that the caller closed the connection while a request
 * is being answered, and writes answers in order. Stream is beast::tcp_stream, or beast::ssl_stream
 * over it.
 *
 * Invariants: at most one request is open (request_ is set); at most one write is in progress
 * (writing_); after Close nothing is read or written.
 */
template <typename Stream>
class http_stream_session final : public http_session,
                                  public std::enable_shared_from_this<http_stream_session<Stream>> {
 public:
  http_stream_session(Stream stream, std::weak_ptr<http_session_owner> owner, http_limits limits,
                      std::shared_ptr<byte_budget> budget)
      : stream_(std::move(stream)),
        owner_(std::move(owner)),
        limits_(limits),
        budget_(std::move(budget)),
        reading_(budget_),
        sending_(budget_),
        idle_timer_(stream_.get_executor()) {}

  void Start() override;
  void Answer(http_answer answer) override;
  void Begin(int status, std::vector<http_header> headers) override;
  void Write(std::string_view bytes) override;
  void End() override;
  void Abort() override;
  std::size_t unsent_bytes() const override { return unsent_bytes_; }
  bool busy() const override { return closing_ || (parser_ && !waiting_); }
  bool HasUnreadBytes() override {
    error_type ignored;
    return Socket().available(ignored) > 0;
  }
  void CloseAfterAnswer() override { close_after_answer_ = true; }
  void CloseWhenIdle() override;
  void CloseAfterFirstRequest() override;
  void OnIdleTimeoutChanged() override;

 private:
  using error_type = boost::beast::error_code;
  using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  /** Size of the buffer for a request's first bytes; an idle connection holds no larger one. */
  static constexpr std::size_t kFirstReadBytes = 1024;
  /** A slow caller may take the write timeout for each piece of this size. */
  static constexpr std::size_t kWriteBytes = 64 * 1024;
  /** The library throws at a field that is longer. */
  static constexpr std::uint32_t kLongestHeader = 0xffff;
  static constexpr duration kReadAfterAnswer = milliseconds(300);
  /** A caller may send its body until then before it reads the refusal. */
  static constexpr duration kReadAfterRefusal = seconds(3);
  static constexpr std::size_t kDiscardBytes = 8 * 1024;
  /** The most that is buffered and not parsed; the parser's own limit of a header comes first. */
  static constexpr std::size_t kMaxUnparsedBytes = kLongestHeader;
  /** What a field takes up beside its bytes, in the library's list and in the request's. */
  static constexpr std::size_t kFieldBytes = 192;
  /** A caller sends its first request within this time after it connected. */
  static constexpr duration kFirstRequestTime = milliseconds(500);
  static constexpr bool kTls = !std::is_same_v<Stream, boost::beast::tcp_stream>;

  auto Self() { return this->shared_from_this(); }
  void SetTimeout(duration timeout) {
    boost::beast::get_lowest_layer(stream_).expires_after(timeout);
  }
  boost::asio::ip::tcp::socket& Socket() {
    return boost::beast::get_lowest_layer(stream_).socket();
  }

  void ReadHeader();
  void WaitForRequest();
  void OnReadable(error_type failed);
  void ReadFirstBytes();
  void OnFirstBytes(error_type failed, std::size_t size);
  void EndWait();
  void StartIdleTimer(std::chrono::steady_clock::time_point expiry);
  void ParseHeader();
  void OnHeader(error_type failed);
  /** Counts the request before its body is read; false if it doesn't fit. */
  bool ClaimRequest();
  /** What the fields that were parsed take up beside their bytes. */
  std::size_t FieldBytes() const;
  void RefuseUnread();
  void ReadBody();
  /** Reads the next part of a body without a known length. */
  void ReadChunks();
  void OnBody(error_type failed);
  void Reject(int status, std::string_view detail);
  void OnReadError(error_type failed);
  void WatchForClose();
  void Queue(std::string bytes);
  /** Counts what is unsent of a whole answer; the rest of one that goes on is its sender's. */
  void CountUnsent();
  void WriteNext();
  void OnWritten(error_type failed, std::size_t size);
  void FinishAnswer();
  /** Closes after the caller has, or after a moment: unread bytes would reset the connection. */
  void CloseAfterReading();
  void DiscardBytes();
  void LeaveOwner();
  void Close();

  Stream stream_;
  std::weak_ptr<http_session_owner> owner_;
  /** The limits that were in force when the connection began to wait for the current request. */
  http_limits limits_;
  std::shared_ptr<byte_budget> budget_;
  /** Counts what is read and is to be read of a request that is not whole. */
  byte_claim reading_;
  byte_claim sending_;
  /** What is counted for the header, and for what is not parsed of a chunked body. */
  std::size_t header_bytes_ = 0;
  /** Apart from the stream's timer, which can't be changed while a read is pending. */
  boost::asio::steady_timer idle_timer_;
  std::chrono::steady_clock::time_point idle_since_;
  /** Whether the first bytes of a request are waited for. */
  bool waiting_ = false;
  boost::beast::flat_buffer buffer_{kMaxUnparsedBytes};
  std::optional<parser> parser_;
  request_id request_;
  unsigned version_ = 11;
  bool keep_alive_ = true;
  bool head_only_ = false;
  bool chunked_ = false;
  /** Whether Begin was called for the current request; its answer has one head. */
  bool begun_ = false;
  /** Whether all bytes of the answer to the current request are queued. */
  bool answer_ended_ = false;
  /** The answer was aborted: bytes already written are sent, then the connection is closed. */
  bool aborted_ = false;
  bool writing_ = false;
  bool closing_ = false;
  bool refused_unread_ = false;
  /** The connection is closed after the next answer. */
  bool close_after_answer_ = false;
  bool closed_ = false;
  std::deque<std::string> unsent_;
  /** Bytes of the first of them that are written. */
  std::size_t front_written_ = 0;
  std::size_t unsent_bytes_ = 0;
};

template <typename Stream>
void http_stream_session<Stream>::Start() {
  if constexpr (kTls) {
    SetTimeout(limits_.header_timeout);
    stream_.async_handshake(boost::asio::ssl::stream_base::server,
                            [self = Self()](error_type failed) {
                              if (failed) return self->Close();
                              self->ReadHeader();
                            });
  } else {
    ReadHeader();
  }
}

template <typename Stream>
void http_stream_session<Stream>::WatchForClose() {
  if (closed_) return;
  Socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                      [self = Self(), watched = request_](error_type failed) {
                        if (failed || self->closed_ || self->request_ != watched) return;
                        error_type ignored;
                        // Readable without bytes means that the caller closed the connection.
                        // Bytes belong to the next request, which is read after this answer.
                        if (self->Socket().available(ignored) == 0) self->Close();
                      });
}

template <typename Stream>
void http_stream_session<Stream>::Answer(http_answer answer) {
  if (closed_ || answer_ended_) return;
  if (begun_) return Abort();
  answer_ended_ = true;
  keep_alive_ = keep_alive_ && !close_after_answer_ && !closing_;
  Queue(AnswerBytes(answer, version_, keep_alive_, head_only_));
}

template <typename Stream>
void http_stream_session<Stream>::Begin(int status, std::vector<http_header> headers) {
  if (closed_ || answer_ended_) return;
  if (std::exchange(begun_, true)) return Abort();
  chunked_ = version_ >= 11;
  keep_alive_ = keep_alive_ && chunked_ && !close_after_answer_ && !closing_;
  Queue(HeadBytes(status, headers, version_, keep_alive_, chunked_));
}

template <typename Stream>
void http_stream_session<Stream>::Write(std::string_view bytes) {
  if (closed_ || answer_ended_ || bytes.empty() || head_only_) return;
  Queue(chunked_ ? ChunkBytes(bytes) : std::string(bytes));
}

template <typename Stream>
void http_stream_session<Stream>::End() {
  if (closed_ || answer_ended_) return;
  answer_ended_ = true;
  if (chunked_ && !head_only_) return Queue(ChunkBytes({}));
  if (!writing_) FinishAnswer();
}

template <typename Stream>
void http_stream_session<Stream>::Abort() {
  aborted_ = true;
  answer_ended_ = true;
  if (!writing_) Close();
}

template <typename Stream>
void http_stream_session<Stream>::Queue(std::string bytes) {
  unsent_bytes_ += bytes.size();
  if (!answer_ended_ && unsent_bytes_ > limits_.unsent_bytes) return Close();
  unsent_.push_back(std::move(bytes));
  CountUnsent();
  if (!writing_) WriteNext();
}

template <typename Stream>
void http_stream_session<Stream>::CountUnsent() {
  sending_.Set(answer_ended_ ? unsent_bytes_ + front_written_ : 0);
}

template <typename Stream>
void http_stream_session<Stream>::WriteNext() {
  writing_ = true;
  // Merges queued bytes into one write.
  while (unsent_.size() > 1 && unsent_[0].size() < kWriteBytes) {
    unsent_[0] += unsent_[1];
    unsent_.erase(unsent_.begin() + 1);
  }
  SetTimeout(limits_.write_timeout);
  const std::string& front = unsent_.front();
  const std::size_t size = std::min(front.size() - front_written_, kWriteBytes);
  boost::asio::async_write(
      stream_, boost::asio::buffer(front.data() + front_written_, size),
      [self = Self(), size](error_type failed, std::size_t) { self->OnWritten(failed, size); });
}

template <typename Stream>
void http_stream_session<Stream>::OnWritten(error_type failed, std::size_t size) {
  writing_ = false;
  if (failed || closed_) return Close();
  unsent_bytes_ -= size;
  front_written_ += size;
  if (front_written_ == unsent_.front().size()) {
    unsent_.pop_front();
    front_written_ = 0;
  }
  CountUnsent();
  if (!unsent_.empty()) return WriteNext();
  if (aborted_) return Close();
  if (request_) boost::beast::get_lowest_layer(stream_).expires_never();
  if (answer_ended_) FinishAnswer();
}

template <typename Stream>
void http_stream_session<Stream>::FinishAnswer() {
  const request_id finished = std::exchange(request_, request_id());
  const auto owner = owner_.lock();
  if (finished && owner) owner->OnSessionDone(finished, false);
  if (!owner) return Close();
  if (!keep_alive_) return CloseAfterReading();
  error_type ignored;
  Socket().cancel(ignored);
  ReadHeader();
}

template <typename Stream>
void http_stream_session<Stream>::CloseAfterReading() {
  // LeaveOwner may drop the last other reference.
  const auto self = Self();
  closing_ = true;
  error_type ignored;
  // Without unread bytes the server need not wait for it.
  if (!refused_unread_ && !HasUnreadBytes()) LeaveOwner();
  // Ends the wait of WatchForClose.
  Socket().cancel(ignored);
  Socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  idle_timer_.expires_after(refused_unread_ ? kReadAfterRefusal : kReadAfterAnswer);
  idle_timer_.async_wait([self = Self()](error_type failed) {
    if (!failed) self->Close();
  });
  DiscardBytes();
}

template <typename Stream>
void http_stream_session<Stream>::DiscardBytes() {
  buffer_.clear();
  Socket().async_read_some(buffer_.prepare(refused_unread_ ? kDiscardBytes : kFirstReadBytes),
                           [self = Self()](error_type failed, std::size_t) {
                             if (self->closed_) return;
                             if (failed) return self->Close();
                             self->DiscardBytes();
                           });
}

template <typename Stream>
void http_stream_session<Stream>::Close() {
  if (closed_) return;
  const auto self = Self();
  closed_ = true;
  waiting_ = false;
  idle_timer_.cancel();
  error_type ignored;
  const bool is_whole = answer_ended_ && !aborted_ && unsent_bytes_ == 0;
  if (begun_ && !chunked_ && !is_whole) {
    // An ordinary close would end such an answer as a whole one.
    Socket().set_option(boost::asio::socket_base::linger(true, 0), ignored);
  } else {
    Socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  }
  Socket().close(ignored);
  LeaveOwner();
}

template <typename Stream>
void http_stream_session<Stream>::LeaveOwner() {
  const auto owner = owner_.lock();
  owner_.reset();
  if (!owner) return;
  const auto self = Self();
  if (request_) owner->OnSessionDone(std::exchange(request_, request_id()), true);
  owner->OnSessionClosed(*this);
}

}  // namespace hawthorndrum

#include "http_stream_session_read.h"
#include "http_stream_session_wait.h"
