/// HTTP/1.1 client built on Boost.Beast.
#include "http_client.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "connection_pool.h"
#include "connection_probe.h"
#include "endpoint.h"
#include "http_call_listener.h"
#include "http_wire.h"

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

class http_client::impl : public std::enable_shared_from_this<http_client::impl> {
 public:
  explicit impl(asio::io_context& io) : io_(io) {}

  http_call_id Start(http_call call, http_call_listener& listener);
  void Cancel(http_call_id id);
  void SetPaused(http_call_id id, bool paused);
  void CancelAll();
  std::size_t open_calls() const { return calls_.size(); }
  void Sweep() { idle_.Sweep(); }
  void Probe(const std::string& address, std::uint64_t owner, duration timeout, probe_handler done);

 private:
  class running_call;

  asio::io_context& io_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<http_call_id, std::shared_ptr<running_call>> calls_;
  connection_pool idle_;
};

/**
 * One call on one connection at a time. The answer is read while the request is being written,
 * since a server may answer before it has read the whole request.
 *
 * Invariant: after ended_ is set the listener is not called, except for the final OnFinished or
 * OnLost.
 */
class http_client::impl::running_call : public std::enable_shared_from_this<running_call> {
 public:
  running_call(std::weak_ptr<impl> owner, asio::io_context& io, http_call_id id, http_call call,
               http_call_listener& listener)
      : owner_(std::move(owner)),
        io_(io),
        total_timer_(io),
        idle_timer_(io),
        id_(id),
        call_(std::move(call)),
        listener_(listener) {}

  void Start(std::unique_ptr<client_connection> reused);
  void Stop();
  void Close();
  void SetPaused(bool paused);

 private:
  void Connect();
  void OnConnected(beast::error_code failed);
  void Send();
  void ExpireAfter(duration time);
  void ReadHead();
  void OnHeadRead(beast::error_code failed);
  bool IsForAnotherRequest() const;
  bool MayBeForAnotherRequest() const;
  void ReadBody();
  void OnBodyRead(beast::error_code failed);
  void DeliverBody();
  void Finish();
  void Fail(attempt_failure failure);
  void FailWithError(beast::error_code failed);
  bool RetryOnFreshConnection();

  std::weak_ptr<impl> owner_;
  asio::io_context& io_;
  asio::steady_timer total_timer_;
  asio::steady_timer idle_timer_;
  http_call_id id_;
  http_call call_;
  http_call_listener& listener_;
  /** Shared with the asynchronous operations on it, which may complete after the call has ended. */
  std::shared_ptr<client_connection> connection_;
  std::optional<beast_request> message_;
  std::optional<http::response_parser<http::string_body>> parser_;
  /** How often idle_timer_ was armed or cancelled. */
  std::uint64_t idle_timer_uses_ = 0;
  bool bytes_sent_ = false;
  bool written_ = false;
  /** Whether the body is not read, and whether a read waits for the end of that. */
  bool paused_ = false;
  bool read_waits_ = false;
  bool discarding_ = false;
  int unrelated_answers_ = 0;
  std::size_t discarded_bytes_ = 0;
  bool ended_ = false;
};

void http_client::impl::running_call::Start(std::unique_ptr<client_connection> reused) {
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

void http_client::impl::running_call::ExpireAfter(duration time) {
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

void http_client::impl::running_call::Connect() {
  connection_ = std::make_shared<client_connection>(io_.get_executor());
  const auto endpoint = ParseEndpoint(call_.address);
  if (!endpoint) {
    asio::post(io_, [self = shared_from_this()] { self->Fail(attempt_failure::kNotConnected); });
    return;
  }
  ExpireAfter(call_.connect_timeout);
  // If it stays closed, connecting reports why.
  if (const auto owner = owner_.lock()) owner->idle_.Open(connection_->socket, *endpoint);
  connection_->socket.async_connect(
      *endpoint, [self = shared_from_this(), connection = connection_](beast::error_code failed) {
        self->OnConnected(failed);
      });
}

void http_client::impl::running_call::OnConnected(beast::error_code failed) {
  if (ended_) return;
  if (failed) return Fail(FailureToConnect(failed));
  SetClientOptions(connection_->socket);
  listener_.OnConnected(id_);
  if (!ended_) Send();
}

void http_client::impl::running_call::Send() {
  if (ended_) return;
  if (call_.may_send && !call_.may_send()) return Fail(attempt_failure::kTimeout);
  bytes_sent_ = true;
  written_ = false;
  http::async_write(
      connection_->socket, *message_,
      [self = shared_from_this(), connection = connection_](beast::error_code failed, std::size_t) {
        // A failed write is reported by the read, which may still return an answer.
        if (!failed && connection == self->connection_) self->written_ = true;
      });
  ReadHead();
}

void http_client::impl::running_call::ReadHead() {
  parser_.emplace();
  parser_->body_limit(call_.answer_bytes);
  if (message_->method() == http::verb::head) parser_->skip(true);
  ExpireAfter(call_.idle_timeout);
  http::async_read_header(
      connection_->socket, connection_->buffer, *parser_,
      [self = shared_from_this(), connection = connection_](beast::error_code failed, std::size_t) {
        if (!self->ended_) self->OnHeadRead(failed);
      });
}

bool http_client::impl::running_call::IsForAnotherRequest() const {
  const answer_id& expected = call_.expected_answer;
  if (expected.header.empty()) return false;
  const auto found = parser_->get().find(expected.header);
  return found != parser_->get().end() && found->value() != expected.value;
}

bool http_client::impl::running_call::MayBeForAnotherRequest() const {
  const answer_id& expected = call_.expected_answer;
  return expected.is_required && !connection_->answered.empty() &&
         parser_->get().find(expected.header) == parser_->get().end();
}

void http_client::impl::running_call::OnHeadRead(beast::error_code failed) {
  if (failed && RetryOnFreshConnection()) return;
  if (failed) return FailWithError(failed);
  // An informational answer (100 to 199) precedes the final one.
  const bool is_interim = parser_->get().result_int() < 200;
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

bool http_client::impl::running_call::RetryOnFreshConnection() {
  // Only for a reused connection on which no byte arrived: the upstream had closed it before the
  // request reached it.
  if (!call_.resend || !connection_->used_before || parser_->got_some()) return false;
  Close();
  Connect();
  return true;
}

void http_client::impl::running_call::SetPaused(bool paused) {
  paused_ = paused;
  if (!paused_ && !ended_ && std::exchange(read_waits_, false)) ReadBody();
}

void http_client::impl::running_call::ReadBody() {
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

void http_client::impl::running_call::OnBodyRead(beast::error_code failed) {
  DeliverBody();
  if (ended_) return;
  if (failed) return FailWithError(failed);
  if (!parser_->is_done()) return ReadBody();
  if (!discarding_) return Finish();
  if (!parser_->get().keep_alive()) return Fail(attempt_failure::kConnectionLost);
  ReadHead();
}

void http_client::impl::running_call::DeliverBody() {
  std::string& body = parser_->get().body();
  if (body.empty()) return;
  std::string bytes;
  bytes.swap(body);
  if (!discarding_) return listener_.OnBody(id_, std::move(bytes));
  discarded_bytes_ += bytes.size();
  if (discarded_bytes_ > kMaxDiscardedBytes) Fail(attempt_failure::kMalformed);
}

void http_client::impl::running_call::Finish() {
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
    owner->idle_.Keep({call_.address, call_.owner}, std::move(idle), KeepTimeOf(parser_->get()));
  } else {
    Close();
  }
  if (by_close) return listener_.OnFinishedByClose(id_);
  listener_.OnFinished(id_);
}

void http_client::impl::running_call::FailWithError(beast::error_code failed) {
  const bool parse_error =
      failed.category() == make_error_code(http::error::bad_method).category() &&
      failed != http::error::partial_message && failed != http::error::end_of_stream;
  Fail(parse_error ? attempt_failure::kMalformed : attempt_failure::kConnectionLost);
}

void http_client::impl::running_call::Fail(attempt_failure failure) {
  if (ended_) return;
  const auto self = shared_from_this();
  Stop();
  Close();
  listener_.OnLost(id_, failure, bytes_sent_);
}

void http_client::impl::running_call::Close() {
  if (!connection_) return;
  beast::error_code ignored;
  // A reset discards bytes that have not arrived: an abandoned request must not run later.
  connection_->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  connection_->socket.close(ignored);
}

void http_client::impl::running_call::Stop() {
  ended_ = true;
  total_timer_.cancel();
  idle_timer_.cancel();
  if (const auto owner = owner_.lock()) owner->calls_.erase(id_);
}

http_call_id http_client::impl::Start(http_call call, http_call_listener& listener) {
  const http_call_id id(++last_id_);
  std::unique_ptr<client_connection> reused;
  if (call.reuse) {
    reused = idle_.Take({call.address, call.owner}, call.longest_idle, call.expected_answer.value);
  }
  auto running =
      std::make_shared<running_call>(weak_from_this(), io_, id, std::move(call), listener);
  calls_.emplace(id, running);
  running->Start(std::move(reused));
  return id;
}

void http_client::impl::Probe(const std::string& address, std::uint64_t owner, duration timeout,
                              probe_handler done) {
  const auto probe = std::make_shared<connection_probe>(
      io_, [self = weak_from_this(), address, owner, done = std::move(done)](
               std::unique_ptr<client_connection> opened, attempt_failure failure) {
        const auto pool_owner = self.lock();
        if (!pool_owner) return;
        if (!opened) return done(failure);
        pool_owner->idle_.Keep({address, owner}, std::move(opened), kDefaultKeepTime);
        done(std::nullopt);
      });
  probe->Start(address, timeout);
}

void http_client::impl::Cancel(http_call_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const auto running = found->second;
  running->Stop();
  running->Close();
}

void http_client::impl::SetPaused(http_call_id id, bool paused) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const auto running = found->second;
  running->SetPaused(paused);
}

void http_client::impl::CancelAll() {
  while (!calls_.empty()) Cancel(calls_.begin()->first);
}

http_client::http_client(asio::io_context& io) : impl_(std::make_shared<impl>(io)) {}

http_client::~http_client() { impl_->CancelAll(); }

http_call_id http_client::Start(http_call call, http_call_listener& listener) {
  return impl_->Start(std::move(call), listener);
}

void http_client::Cancel(http_call_id id) { impl_->Cancel(id); }

void http_client::Probe(const std::string& address, std::uint64_t owner, duration timeout,
                        probe_handler done) {
  impl_->Probe(address, owner, timeout, std::move(done));
}

void http_client::SetPaused(http_call_id id, bool paused) { impl_->SetPaused(id, paused); }

std::size_t http_client::open_calls() const { return impl_->open_calls(); }

void http_client::Sweep() { impl_->Sweep(); }

}  // namespace hawthorndrum
