/// Part of http_stream_session: the wait for the first bytes of a request.
#pragma once

#include <boost/asio/error.hpp>
#include <chrono>

#include "http_stream_session.h"

namespace hawthorndrum {

template <typename Stream>
void http_stream_session<Stream>::WaitForRequest() {
  // The wait for the first byte may take up to the idle timeout; from then on the header timeout
  // applies.
  boost::beast::get_lowest_layer(stream_).expires_never();
  waiting_ = true;
  if (buffer_.capacity() > kFirstReadBytes) buffer_.shrink_to_fit();
  idle_since_ = std::chrono::steady_clock::now();
  StartIdleTimer(idle_since_ + limits_.idle_timeout);
  if (const auto owner = owner_.lock()) owner->OnSessionIdle(*this, true);
  if constexpr (kTls) {
    ReadFirstBytes();
  } else {
    // Nothing is read before it can be passed on, so HasUnreadBytes is exact.
    Socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                        [self = Self()](error_type failed) { self->OnReadable(failed); });
  }
  if (closing_) CloseWhenIdle();
}

template <typename Stream>
void http_stream_session<Stream>::OnReadable(error_type failed) {
  if (failed) return Close();
  if (closed_) return;
  EndWait();
  SetTimeout(limits_.header_timeout);
  ReadFirstBytes();
}

template <typename Stream>
void http_stream_session<Stream>::ReadFirstBytes() {
  stream_.async_read_some(
      buffer_.prepare(kFirstReadBytes),
      [self = Self()](error_type failed, std::size_t size) { self->OnFirstBytes(failed, size); });
}

template <typename Stream>
void http_stream_session<Stream>::OnFirstBytes(error_type failed, std::size_t size) {
  // Cancelled by CloseWhenIdle just as bytes arrived.
  if (failed == boost::asio::error::operation_aborted && waiting_ && HasUnreadBytes()) {
    return ReadFirstBytes();
  }
  if (failed || closed_) return Close();
  EndWait();
  buffer_.commit(size);
  ReadHeader();
}

template <typename Stream>
void http_stream_session<Stream>::EndWait() {
  waiting_ = false;
  idle_timer_.cancel();
  if (const auto owner = owner_.lock()) owner->OnSessionIdle(*this, false);
}

template <typename Stream>
void http_stream_session<Stream>::StartIdleTimer(std::chrono::steady_clock::time_point expiry) {
  idle_timer_.expires_at(expiry);
  idle_timer_.async_wait([self = Self()](error_type failed) {
    // A handler that was queued before the timer was started again is not cancelled.
    if (failed || std::chrono::steady_clock::now() < self->idle_timer_.expiry()) return;
    if (!self->waiting_) return;
    if (self->closing_) return self->Close();
    self->CloseWhenIdle();
  });
}

template <typename Stream>
void http_stream_session<Stream>::OnIdleTimeoutChanged() {
  if (const auto owner = owner_.lock()) limits_ = owner->limits();
  if (waiting_) StartIdleTimer(idle_since_ + limits_.idle_timeout);
}

template <typename Stream>
void http_stream_session<Stream>::CloseAfterFirstRequest() {
  if (!waiting_ || kTls) return CloseWhenIdle();
  closing_ = true;
  StartIdleTimer(std::chrono::steady_clock::now() + kFirstRequestTime);
  if (const auto owner = owner_.lock()) owner->OnSessionIdle(*this, false);
}

template <typename Stream>
void http_stream_session<Stream>::CloseWhenIdle() {
  const bool handshaking = !parser_;
  closing_ = true;
  if (!handshaking && !waiting_) return;
  const bool may_close = handshaking || !kTls;
  if (may_close && !HasUnreadBytes()) return Close();
  if (handshaking) return;
  // A request that has arrived is read; the header timeout bounds the wait for its first bytes.
  StartIdleTimer(std::chrono::steady_clock::now() + limits_.header_timeout);
  if (const auto owner = owner_.lock()) owner->OnSessionIdle(*this, false);
  if constexpr (kTls) {
    // The TLS stream may hold bytes already. Then its read succeeds, otherwise it is cancelled.
    error_type ignored;
    Socket().cancel(ignored);
  }
}

}  // namespace hawthorndrum
