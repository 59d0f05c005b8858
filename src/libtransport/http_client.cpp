/// Connections of the HTTP client, and the calls on them.
#include "http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "endpoint.h"
#include "http_call_listener.h"
#include "http_wire.h"

namespace hawthorndrum {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kIdlePerAddress = 64;
constexpr duration kIdleKept = seconds(20);

/** One connection to an upstream, with what was read ahead on it. */
struct connection {
  explicit connection(asio::io_context& io) : stream(io) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  bool used_before = false;
};

}  // namespace

class http_client::impl : public std::enable_shared_from_this<http_client::impl> {
 public:
  explicit impl(asio::io_context& io) : io_(io) {}

  http_call_id Start(http_call call, http_call_listener& listener);
  void Cancel(http_call_id id);
  void CancelAll();
  std::size_t open_calls() const { return calls_.size(); }

 private:
  class running_call;
  struct idle_connection {
    std::unique_ptr<connection> kept;
    std::chrono::steady_clock::time_point since;
  };

  std::unique_ptr<connection> TakeIdle(const std::string& address);
  void KeepIdle(const std::string& address, std::unique_ptr<connection> kept);

  asio::io_context& io_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<http_call_id, std::shared_ptr<running_call>> calls_;
  std::map<std::string, std::deque<idle_connection>> idle_;
};

/**
 * One call on one connection.
 *
 * Invariant: after over_ is set the listener hears nothing more.
 */
class http_client::impl::running_call : public std::enable_shared_from_this<running_call> {
 public:
  running_call(std::weak_ptr<impl> owner, asio::io_context& io, http_call_id id, http_call call,
               http_call_listener& listener)
      : owner_(std::move(owner)),
        io_(io),
        total_timer_(io),
        id_(id),
        call_(std::move(call)),
        listener_(listener) {}

  void Start(std::unique_ptr<connection> kept);
  void Stop();
  void Close() {
    if (connection_) connection_->stream.close();
  }

 private:
  void Connect();
  void Send();
  void ReadHead();
  void OnHeadRead(beast::error_code failed);
  void ReadBody();
  void OnBodyRead(beast::error_code failed);
  void DeliverBody();
  void Finish();
  void Fail(attempt_failure failure);
  void FailBy(beast::error_code failed);
  bool RetryOnFreshConnection();

  std::weak_ptr<impl> owner_;
  asio::io_context& io_;
  asio::steady_timer total_timer_;
  http_call_id id_;
  http_call call_;
  http_call_listener& listener_;
  std::unique_ptr<connection> connection_;
  std::optional<beast_request> message_;
  std::optional<http::response_parser<http::string_body>> parser_;
  bool bytes_sent_ = false;
  bool head_seen_ = false;
  bool over_ = false;
};

void http_client::impl::running_call::Start(std::unique_ptr<connection> kept) {
  if (call_.total_timeout > duration(0)) {
    total_timer_.expires_after(call_.total_timeout);
    total_timer_.async_wait([self = shared_from_this()](boost::system::error_code failed) {
      if (!failed) self->Fail(attempt_failure::kTimeout);
    });
  }
  connection_ = std::move(kept);
  message_ = ToBeast(std::move(call_.request), call_.address);
  if (!connection_) return Connect();
  // Posted, so that the listener is never called from within Start.
  asio::post(io_, [self = shared_from_this()] { self->Send(); });
}

void http_client::impl::running_call::Connect() {
  connection_ = std::make_unique<connection>(io_);
  const auto endpoint = ParseEndpoint(call_.address);
  if (!endpoint) {
    asio::post(io_, [self = shared_from_this()] { self->Fail(attempt_failure::kNotConnected); });
    return;
  }
  connection_->stream.expires_after(call_.connect_timeout);
  connection_->stream.async_connect(
      *endpoint, [self = shared_from_this()](beast::error_code failed) {
        if (self->over_) return;
        if (failed) return self->Fail(attempt_failure::kNotConnected);
        beast::error_code ignored;
        self->connection_->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        self->Send();
      });
}

void http_client::impl::running_call::Send() {
  if (over_) return;
  if (call_.may_send && !call_.may_send()) return Fail(attempt_failure::kTimeout);
  bytes_sent_ = true;
  connection_->stream.expires_after(call_.idle_timeout);
  http::async_write(connection_->stream, *message_,
                    [self = shared_from_this()](beast::error_code failed, std::size_t) {
                      if (self->over_) return;
                      // An answer may have come although the rest could not be sent.
                      if (failed && failed != asio::error::broken_pipe &&
                          failed != asio::error::connection_reset) {
                        return self->FailBy(failed);
                      }
                      self->ReadHead();
                    });
}

void http_client::impl::running_call::ReadHead() {
  parser_.emplace();
  parser_->body_limit(call_.answer_bytes);
  if (message_->method() == http::verb::head) parser_->skip(true);
  connection_->stream.expires_after(call_.idle_timeout);
  http::async_read_header(connection_->stream, connection_->buffer, *parser_,
                          [self = shared_from_this()](beast::error_code failed, std::size_t) {
                            if (!self->over_) self->OnHeadRead(failed);
                          });
}

void http_client::impl::running_call::OnHeadRead(beast::error_code failed) {
  if (failed && RetryOnFreshConnection()) return;
  if (failed) return FailBy(failed);
  // An interim answer (100 to 199) is followed by the real one.
  if (parser_->get().result_int() < 200) return ReadHead();
  head_seen_ = true;
  listener_.OnHead(id_, static_cast<int>(parser_->get().result_int()), ToHeaders(parser_->get()));
  if (over_) return;
  DeliverBody();
  if (over_) return;
  if (parser_->is_done()) return Finish();
  ReadBody();
}

bool http_client::impl::running_call::RetryOnFreshConnection() {
  // A kept connection that the upstream had closed before the request reached it.
  if (!connection_->used_before || parser_->got_some()) return false;
  Connect();
  return true;
}

void http_client::impl::running_call::ReadBody() {
  connection_->stream.expires_after(call_.idle_timeout);
  http::async_read_some(connection_->stream, connection_->buffer, *parser_,
                        [self = shared_from_this()](beast::error_code failed, std::size_t) {
                          if (!self->over_) self->OnBodyRead(failed);
                        });
}

void http_client::impl::running_call::OnBodyRead(beast::error_code failed) {
  DeliverBody();
  if (over_) return;
  if (failed) return FailBy(failed);
  if (parser_->is_done()) return Finish();
  ReadBody();
}

void http_client::impl::running_call::DeliverBody() {
  std::string& body = parser_->get().body();
  if (body.empty()) return;
  std::string bytes;
  bytes.swap(body);
  listener_.OnBody(id_, std::move(bytes));
}

void http_client::impl::running_call::Finish() {
  const auto self = shared_from_this();
  const bool keep = call_.reuse && parser_->get().keep_alive();
  Stop();
  const auto owner = owner_.lock();
  if (keep && owner) owner->KeepIdle(call_.address, std::move(connection_));
  listener_.OnFinished(id_);
}

void http_client::impl::running_call::FailBy(beast::error_code failed) {
  if (failed == beast::error::timeout) return Fail(attempt_failure::kTimeout);
  const bool parse_error =
      failed.category() == make_error_code(http::error::bad_method).category() &&
      failed != http::error::partial_message && failed != http::error::end_of_stream;
  Fail(parse_error ? attempt_failure::kMalformed : attempt_failure::kConnectionLost);
}

void http_client::impl::running_call::Fail(attempt_failure failure) {
  if (over_) return;
  const auto self = shared_from_this();
  Stop();
  Close();
  listener_.OnLost(id_, failure, bytes_sent_);
}

void http_client::impl::running_call::Stop() {
  over_ = true;
  total_timer_.cancel();
  if (const auto owner = owner_.lock()) owner->calls_.erase(id_);
}

http_call_id http_client::impl::Start(http_call call, http_call_listener& listener) {
  const http_call_id id(++last_id_);
  std::unique_ptr<connection> kept;
  if (call.reuse) kept = TakeIdle(call.address);
  auto running =
      std::make_shared<running_call>(weak_from_this(), io_, id, std::move(call), listener);
  calls_.emplace(id, running);
  running->Start(std::move(kept));
  return id;
}

void http_client::impl::Cancel(http_call_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const auto running = found->second;
  running->Stop();
  running->Close();
}

void http_client::impl::CancelAll() {
  while (!calls_.empty()) Cancel(calls_.begin()->first);
}

std::unique_ptr<connection> http_client::impl::TakeIdle(const std::string& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) return nullptr;
  auto& waiting = found->second;
  const auto now = std::chrono::steady_clock::now();
  while (!waiting.empty()) {
    idle_connection taken = std::move(waiting.back());
    waiting.pop_back();
    if (now - taken.since > kIdleKept) continue;
    beast::error_code failed;
    auto& socket = taken.kept->stream.socket();
    socket.non_blocking(true, failed);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, failed);
    // Anything but "nothing to read" means that the upstream closed or broke the protocol.
    if (failed == asio::error::would_block) return std::move(taken.kept);
  }
  return nullptr;
}

void http_client::impl::KeepIdle(const std::string& address, std::unique_ptr<connection> kept) {
  if (kept->buffer.size() > 0) return;
  kept->used_before = true;
  kept->stream.expires_never();
  auto& waiting = idle_[address];
  waiting.push_back({std::move(kept), std::chrono::steady_clock::now()});
  if (waiting.size() > kIdlePerAddress) waiting.pop_front();
}

http_client::http_client(asio::io_context& io) : impl_(std::make_shared<impl>(io)) {}

http_client::~http_client() { impl_->CancelAll(); }

http_call_id http_client::Start(http_call call, http_call_listener& listener) {
  return impl_->Start(std::move(call), listener);
}

void http_client::Cancel(http_call_id id) { impl_->Cancel(id); }

std::size_t http_client::open_calls() const { return impl_->open_calls(); }

}  // namespace hawthorndrum
