/// Part of http_stream_session: reads a request, as far as the process's budget allows.
#pragma once

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <iterator>
#include <utility>

#include "http_stream_session.h"

namespace hawthorndrum {

template <typename Stream>
void http_stream_session<Stream>::ReadHeader() {
  parser_.emplace();
  begun_ = false;
  answer_ended_ = false;
  header_bytes_ = kFirstReadBytes;
  if (const auto owner = owner_.lock()) limits_ = owner->limits();
  parser_->header_limit(std::min(limits_.header_bytes, kLongestHeader));
  parser_->body_limit(limits_.body_bytes);
  buffer_.max_size(kMaxUnparsedBytes);
  if (buffer_.size() == 0) return WaitForRequest();
  SetTimeout(limits_.header_timeout);
  ParseHeader();
}

template <typename Stream>
void http_stream_session<Stream>::ParseHeader() {
  error_type failed;
  buffer_.consume(parser_->put(buffer_.data(), failed));
  if (failed == boost::beast::http::error::need_more) failed = {};
  if (failed || parser_->is_header_done()) return OnHeader(failed);
  header_bytes_ = std::max(kFirstReadBytes, std::size_t{limits_.header_bytes});
  if (!reading_.TryGrow(header_bytes_)) return RefuseUnread();
  boost::beast::http::async_read_header(
      stream_, buffer_, *parser_,
      [self = Self()](error_type failed, std::size_t) { self->OnHeader(failed); });
}

template <typename Stream>
void http_stream_session<Stream>::OnHeader(error_type failed) {
  if (failed) return OnReadError(failed);
  const auto& message = parser_->get();
  version_ = message.version();
  head_only_ = message.method() == boost::beast::http::verb::head;
  if (!HasKnownCoding(message)) return Reject(400, "the transfer coding is not supported");
  if (!ClaimRequest()) return RefuseUnread();
  if (boost::beast::iequals(message[boost::beast::http::field::expect], "100-continue")) {
    Queue("HTTP/1.1 100 Continue\r\n\r\n");
  }
  ReadBody();
}

template <typename Stream>
bool http_stream_session<Stream>::ClaimRequest() {
  const std::uint64_t length = parser_->content_length().value_or(0);
  const bool is_first_read = header_bytes_ == kFirstReadBytes && length <= buffer_.size();
  if (parser_->chunked()) {
    // Bounds the header of a chunk and the trailer, for which the parser has no limit.
    const std::size_t header = std::min(limits_.header_bytes, kLongestHeader);
    buffer_.max_size(std::max({header, buffer_.size(), kDiscardBytes}));
    header_bytes_ = std::max(header_bytes_, buffer_.max_size());
  }
  header_bytes_ += FieldBytes();
  if (!is_first_read) return reading_.TryGrow(header_bytes_ + length);
  // Read already; the handler decides on it, or the body's chunks.
  reading_.Set(header_bytes_ + length);
  return true;
}

template <typename Stream>
std::size_t http_stream_session<Stream>::FieldBytes() const {
  const auto& fields = parser_->get().base();
  return kFieldBytes * static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
}

template <typename Stream>
void http_stream_session<Stream>::RefuseUnread() {
  const auto owner = owner_.lock();
  if (!owner) return Close();
  std::uint64_t bytes = reading_.bytes();
  bool head_only = false;
  if (parser_->is_header_done()) {
    bytes = parser_->content_length().value_or(bytes);
    head_only = head_only_;
  }
  refused_unread_ = true;
  keep_alive_ = false;
  closing_ = true;
  answer_ended_ = true;
  parser_.emplace();
  reading_.Set(0);
  SetTimeout(limits_.write_timeout);
  Queue(AnswerBytes(owner->OnSessionFull(bytes), 11, false, head_only));
}

template <typename Stream>
void http_stream_session<Stream>::ReadBody() {
  SetTimeout(limits_.body_timeout);
  if (parser_->chunked()) {
    parser_->eager(true);
    return ReadChunks();
  }
  boost::beast::http::async_read(
      stream_, buffer_, *parser_,
      [self = Self()](error_type failed, std::size_t) { self->OnBody(failed); });
}

template <typename Stream>
void http_stream_session<Stream>::ReadChunks() {
  // A string that grows may take up to twice its size.
  const std::size_t most = 2 * (parser_->get().body().size() + buffer_.capacity());
  if (!reading_.TryGrow(header_bytes_ + most)) return RefuseUnread();
  boost::beast::http::async_read_some(stream_, buffer_, *parser_,
                                      [self = Self()](error_type failed, std::size_t) {
                                        if (failed || self->parser_->is_done())
                                          return self->OnBody(failed);
                                        self->ReadChunks();
                                      });
}

template <typename Stream>
void http_stream_session<Stream>::OnBody(error_type failed) {
  if (failed) return OnReadError(failed);
  const auto owner = owner_.lock();
  if (!owner) return Close();
  keep_alive_ = parser_->get().keep_alive();
  boost::beast::get_lowest_layer(stream_).expires_never();
  // The trailer's fields have come since the header was counted.
  if (parser_->chunked()) header_bytes_ += FieldBytes();
  http_request request = ToRequest(parser_->release());
  reading_.Set(header_bytes_ + request.body.capacity());
  request.held = std::exchange(reading_, byte_claim{budget_});
  request_ = owner->OnSessionRequest(*this, std::move(request));
  if (closed_ && request_) owner->OnSessionDone(std::exchange(request_, request_id()), true);
  WatchForClose();
}

template <typename Stream>
void http_stream_session<Stream>::OnReadError(error_type failed) {
  namespace http = boost::beast::http;
  if (failed == http::error::header_limit) return Reject(431, "the header is too large");
  if (failed == http::error::body_limit) return Reject(413, "the body is too large");
  if (failed == http::error::buffer_overflow) {
    return Reject(431, "the header of a chunk or the trailer is too large");
  }
  if (failed == http::error::partial_message || failed == http::error::end_of_stream) {
    return Close();
  }
  if (failed.category() == make_error_code(http::error::bad_method).category()) {
    return Reject(400, "the request is not valid HTTP: " + failed.message());
  }
  Close();
}

template <typename Stream>
void http_stream_session<Stream>::Reject(int status, std::string_view detail) {
  if (const auto owner = owner_.lock()) owner->OnSessionRejected(status);
  keep_alive_ = false;
  closing_ = true;
  answer_ended_ = true;
  SetTimeout(limits_.write_timeout);
  const bool head_only = parser_->get().method() == boost::beast::http::verb::head;
  Queue(AnswerBytes(TransportProblem(status, detail), 11, false, head_only));
}

}  // namespace hawthorndrum
