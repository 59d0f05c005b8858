/// Sends a call's request and reads its answer, with Boost.Beast.
#include "running_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "connection_pool.h"
#include "connection_probe.h"
#include "endpoint.h"
#include "http_call_listener.h"

namespace hawthorndrum {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/**
 * Limits on what precedes a call's answer on its connection: interim answers, and late answers to
 * earlier requests.
 */
constexpr int kMaxUnrelatedAnswers = 16;
constexpr std::size_t kMaxDiscardedBytes = 4 * 1024 * 1024;

}  // namespace

running_call::running_call(std::weak_ptr<call_owner> owner, asio::io_context& io, http_call_id id,
                           http_call call, http_call_listener& listener)
    : owner_(std::move(owner)),
      io_(io),
      total_timer_(io),
      idle_timer_(io),
      id_(id),
      call_(std::move(call)),
      listener_(listener) {}

void running_call::Start(std::unique_ptr<client_connection> reused) {
  if (call_.total_timeout > duration(0)) {
    total_timer_.expires_after(call_.total_timeout);
    total_timer_.async_wait([self = shared_from_this()](boost::system::error_code failed) {
      if (!failed) self->Fail(attempt_failure::kTimeout);
    });
  }
  connection_ = std::move(reused);
  message_ = ToBeast(std::move(call_.request), call_.address);
  if (!connection_) return Connect();
  // Posted, so that the listener is never called from within Start.
  asio::post(io_, [self = shared_from_this()] { self->Send(); });
}

void running_call::ExpireAfter(duration time) {
  idle_timer_.cancel();
  const std::uint64_t use = ++idle_timer_uses_;
  if (time <= duration(0)) return;
  idle_timer_.expires_after(time);
  idle_timer_.async_wait([self = shared_from_this(), use](boost::system::error_code failed) {
    // Cancelling does not stop a handler that is already queued.
    if (failed || self->ended_ || use != self->idle_timer_uses_) return;
    // If no byte was sent, the server was never reached.
    self->Fail(self->bytes_sent_ ? attempt_failure::kTimeout : attempt_failure::kNotConnected);
  });
}

void running_call::Connect() {
  connection_ = std::make_shared<client_connection>(io_.get_executor());
  const auto endpoint = ParseEndpoint(call_.address);
  if (!endpoint) {
    asio::post(io_, [self = shared_from_this()] { self->Fail(attempt_failure::kNotConnected); });
    return;
  }
  ExpireAfter(call_.connect_timeout);
  // If it stays closed, connecting reports why.
  if (const auto owner = owner_.lock()) owner->connections().Open(connection_->socket, *endpoint);
  connection_->socket.async_connect(
      *endpoint, [self = shared_from_this(), connection = connection_](beast::error_code failed) {
        self->OnConnected(failed);
      });
}

void running_call::OnConnected(beast::error_code failed) {
  if (ended_) return;
  if (failed) return Fail(FailureToConnect(failed));
  SetClientOptions(connection_->socket);
  listener_.OnConnected(id_);
  if (!ended_) Send();
}

void running_call::Send() {
  if (ended_) return;
  if (call_.may_send && !call_.may_send()) return Fail(attempt_failure::kTimeout);
  bytes_sent_ = true;
  written_ = false;
  write_failed_ = false;
  http::async_write(
      connection_->socket, *message_,
      [self = shared_from_this(), connection = connection_](beast::error_code failed, std::size_t) {
        if (connection == self->connection_) self->OnWritten(failed);
      });
  ReadHead();
}

void running_call::OnWritten(beast::error_code failed) {
  written_ = !failed;
  write_failed_ = !written_;
  // The connection may still carry an answer, which the read returns.
  if (!ended_ && std::exchange(end_waits_, false)) FinishByClose();
}

void running_call::ReadHead() {
  parser_.emplace();
  parser_->body_limit(call_.answer_bytes);
  if (message_->method() == http::verb::head) parser_->skip(true);
  ExpireAfter(call_.idle_timeout);
  connection_->buffer.BeginHead();
  http::async_read_header(
      connection_->socket, connection_->buffer, *parser_,
      [self = shared_from_this(), connection = connection_](beast::error_code failed, std::size_t) {
        if (!self->ended_) self->OnHeadRead(failed);
      });
}

bool running_call::IsForAnotherRequest() const {
  const answer_id& expected = call_.expected_answer;
  if (expected.header.empty()) return false;
  const auto found = parser_->get().find(expected.header);
  return found != parser_->get().end() && found->value() != expected.value;
}

bool running_call::MayBeForAnotherRequest() const {
  const answer_id& expected = call_.expected_answer;
  return expected.is_required && !connection_->answered.empty() &&
         parser_->get().find(expected.header) == parser_->get().end();
}

void running_call::OnHeadRead(beast::error_code failed) {
  if (failed && RetryOnFreshConnection()) return;
  if (failed) return FailWithError(failed);
  if (connection_->buffer.EndHead()) return Fail(attempt_failure::kMalformed);
  const head_kind kind = KindOf(parser_->get().result_int(), parser_->get());
  if (kind == head_kind::kNoAnswer) return Fail(attempt_failure::kMalformed);
  const bool is_interim = kind == head_kind::kInterimAnswer;
  discarding_ = !is_interim && IsForAnotherRequest();
  if ((is_interim || discarding_) && ++unrelated_answers_ > kMaxUnrelatedAnswers)
    return Fail(attempt_failure::kMalformed);
  if (is_interim) return ReadHead();
  if (MayBeForAnotherRequest()) return Fail(attempt_failure::kMalformed);
  if (!discarding_) {
    listener_.OnHead(id_, static_cast<int>(parser_->get().result_int()), ToHeaders(parser_->get()));
    if (ended_) return;
  }
  OnBodyRead({});
}

bool running_call::RetryOnFreshConnection() {
  // Only for a reused connection on which no byte arrived: the upstream had closed it before the
  // request reached it.
  if (!call_.resend || !connection_->used_before || parser_->got_some()) return false;
  Close();
  Connect();
  return true;
}

void running_call::SetPaused(bool paused) {
  paused_ = paused;
  if (!paused_ && !ended_ && std::exchange(read_waits_, false)) ReadBody();
}

void running_call::ReadBody() {
  if (paused_ && !discarding_) {
    read_waits_ = true;
    // The silence is this host's own.
    return ExpireAfter(duration(0));
  }
  ExpireAfter(call_.idle_timeout);
  http::async_read_some(
      connection_->socket, connection_->buffer, *parser_,
      [self = shared_from_this(), connection = connection_](beast::error_code failed, std::size_t) {
        if (!self->ended_) self->OnBodyRead(failed);
      });
}

void running_call::OnBodyRead(beast::error_code failed) {
  DeliverBody();
  if (ended_) return;
  if (failed) return FailWithError(failed);
  if (!parser_->is_done()) return ReadBody();
  if (!discarding_) return parser_->need_eof() ? FinishByClose() : Finish();
  if (!parser_->get().keep_alive()) return Fail(attempt_failure::kConnectionLost);
  ReadHead();
}

void running_call::DeliverBody() {
  std::string& body = parser_->get().body();
  if (body.empty()) return;
  std::string bytes;
  bytes.swap(body);
  if (!discarding_) return listener_.OnBody(id_, std::move(bytes));
  discarded_bytes_ += bytes.size();
  if (discarded_bytes_ > kMaxDiscardedBytes) Fail(attempt_failure::kMalformed);
}

void running_call::FinishByClose() {
  if (write_failed_) return Fail(attempt_failure::kConnectionLost);
  if (written_) return Finish();
  end_waits_ = true;
}

void running_call::Finish() {
  const auto self = shared_from_this();
  // A server that answered before the request was written may or may not read the rest of it, so
  // its connection is not reused.
  const bool by_close = parser_->need_eof();
  const bool keep = call_.reuse && written_ && parser_->get().keep_alive();
  Stop();
  const auto owner = owner_.lock();
  if (keep && owner && connection_->buffer.size() == 0) {
    auto idle = std::make_unique<client_connection>(io_.get_executor());
    idle->socket = std::move(connection_->socket);
    idle->answered = std::move(connection_->answered);
    if (!call_.expected_answer.value.empty()) idle->answered.push_back(call_.expected_answer.value);
    if (idle->answered.size() > client_connection::kMaxAnswered) idle->answered.pop_front();
    owner->connections().Keep({call_.address, call_.owner}, std::move(idle),
                              KeepTimeOf(parser_->get()));
  } else {
    Close();
  }
  if (by_close) return listener_.OnFinishedByClose(id_);
  listener_.OnFinished(id_);
}

void running_call::FailWithError(beast::error_code failed) {
  const bool parse_error =
      failed.category() == make_error_code(http::error::bad_method).category() &&
      failed != http::error::partial_message && failed != http::error::end_of_stream;
  Fail(parse_error ? attempt_failure::kMalformed : attempt_failure::kConnectionLost);
}

void running_call::Fail(attempt_failure failure) {
  if (ended_) return;
  const auto self = shared_from_this();
  Stop();
  Close();
  listener_.OnLost(id_, failure, bytes_sent_);
}

void running_call::Close() {
  if (!connection_) return;
  beast::error_code ignored;
  // A reset discards bytes that have not arrived: an abandoned request must not run later.
  connection_->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  connection_->socket.close(ignored);
}

void running_call::Stop() {
  ended_ = true;
  total_timer_.cancel();
  idle_timer_.cancel();
  if (const auto owner = owner_.lock()) owner->Remove(id_);
}

}  // namespace hawthorndrum
