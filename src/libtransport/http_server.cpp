/// Accepts connections and routes answers to them.
#include "http_server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <string>
#include <unordered_map>

#include "base/counter.h"
#include "base/metrics_registry.h"
#include "endpoint.h"
#include "http_handler.h"
#include "http_stream_session.h"
#include "ports/random_source.h"

namespace hawthorndrum {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {
constexpr duration kAcceptRetryDelay = milliseconds(20);
/** Retry-After of requests that are not read. */
constexpr duration kRetryWhenFull = milliseconds(500);
}  // namespace

class http_server::impl : public http_session_owner,
                          public std::enable_shared_from_this<http_server::impl> {
 public:
  impl(asio::io_context& io, http_handler& handler, random_source& random,
       metrics_registry& metrics, std::string_view name, http_limits limits,
       std::shared_ptr<asio::ssl::context> tls, std::shared_ptr<byte_budget> budget)
      : acceptor_(io),
        retry_timer_(io),
        handler_(handler),
        random_(random),
        limits_(limits),
        tls_(std::move(tls)),
        budget_(std::move(budget)),
        accepted_(metrics.Counter("http_connections_total", MetricLabel("server", name))),
        open_(metrics.Counter("http_connections_open", MetricLabel("server", name))),
        evicted_(
            metrics.Counter("http_idle_connections_closed_total", MetricLabel("server", name))),
        over_limit_(metrics.Counter("http_connections_refused_total", MetricLabel("server", name))),
        rejected_(metrics.Counter("http_requests_rejected_total", MetricLabel("server", name))),
        refused_unread_(
            metrics.Counter("http_requests_refused_unread_total", MetricLabel("server", name))) {}

  expected<std::uint16_t> Bind(std::string_view address);
  expected<void> Listen();
  void StopListening();
  void SetLimits(const http_limits& limits);
  void CloseAfterAnswers();
  void ReplaceTls(std::shared_ptr<asio::ssl::context> tls) { tls_ = std::move(tls); }
  std::size_t connections() const { return sessions_.size(); }
  std::size_t busy_connections() const {
    return static_cast<std::size_t>(std::count_if(
        sessions_.begin(), sessions_.end(), [](const auto& entry) { return entry.first->busy(); }));
  }
  http_session* FindSession(request_id request) const {
    const auto found = requests_.find(request);
    return found == requests_.end() ? nullptr : found->second;
  }

  const http_limits& limits() const override { return limits_; }
  request_id OnSessionRequest(http_session& session, http_request request) override;
  void OnSessionDone(request_id request, bool gone) override;
  void OnSessionIdle(http_session& session, bool idle) override;
  void OnSessionClosed(http_session& session) override;
  http_answer OnSessionFull(std::uint64_t bytes) override;
  void OnSessionRejected(int) override { rejected_.Add(); }

 private:
  struct session_entry {
    std::shared_ptr<http_session> session;
    /** The IP address of the other end. */
    std::string remote;
    bool idle = false;
    /** The position in idle_ while the connection is idle. */
    std::list<http_session*>::iterator idle_position;
  };

  void Accept();
  /** Accepts the connections that the kernel has made already; it would reset them. */
  void AcceptQueued();
  void RetryAccept();
  bool EvictIdle();
  /** Returns the connection; null if there are too many. */
  http_session* OnAccepted(tcp::socket socket);
  template <typename Stream>
  http_session* Open(Stream stream, std::string remote);

  tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  http_handler& handler_;
  random_source& random_;
  http_limits limits_;
  std::shared_ptr<asio::ssl::context> tls_;
  std::shared_ptr<byte_budget> budget_;
  counter& accepted_;
  counter& open_;
  counter& evicted_;
  counter& over_limit_;
  counter& rejected_;
  counter& refused_unread_;
  bool close_after_answers_ = false;
  std::unordered_map<http_session*, session_entry> sessions_;
  /** Idle connections, the longest idle first. */
  std::list<http_session*> idle_;
  /** The connection of each request whose answer is not complete. */
  std::unordered_map<request_id, http_session*> requests_;
};

expected<std::uint16_t> http_server::impl::Bind(std::string_view address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return tl::make_unexpected(endpoint.error());
  boost::system::error_code failed;
  acceptor_.open(endpoint->protocol(), failed);
  if (!failed) acceptor_.set_option(tcp::acceptor::reuse_address(true), failed);
  if (!failed) acceptor_.bind(*endpoint, failed);
  if (!failed) return acceptor_.local_endpoint().port();
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  return tl::make_unexpected(AddressError(address, failed));
}

expected<void> http_server::impl::Listen() {
  boost::system::error_code failed;
  acceptor_.listen(asio::socket_base::max_listen_connections, failed);
  if (failed) {
    boost::system::error_code ignored;
    const auto own = acceptor_.local_endpoint(ignored);
    acceptor_.close(ignored);
    return tl::make_unexpected(
        AddressError(own.address().to_string() + ":" + std::to_string(own.port()), failed));
  }
  Accept();
  return {};
}

void http_server::impl::StopListening() {
  const auto sessions = sessions_;
  AcceptQueued();
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
  for (const auto& [session, entry] : sessions) session->CloseWhenIdle();
}

void http_server::impl::AcceptQueued() {
  if (!acceptor_.is_open()) return;
  boost::system::error_code failed;
  acceptor_.non_blocking(true, failed);
  while (!failed) {
    tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, failed);
    if (failed) return;
    if (http_session* session = OnAccepted(std::move(socket))) session->CloseAfterFirstRequest();
  }
}

void http_server::impl::SetLimits(const http_limits& limits) {
  const bool changed = limits.idle_timeout != limits_.idle_timeout;
  limits_ = limits;
  if (!changed) return;
  for (http_session* session : idle_) session->OnIdleTimeoutChanged();
}

void http_server::impl::CloseAfterAnswers() {
  close_after_answers_ = true;
  for (const auto& [session, entry] : sessions_) session->CloseAfterAnswer();
}

void http_server::impl::Accept() {
  acceptor_.async_accept(
      [self = weak_from_this()](boost::system::error_code failed, tcp::socket socket) {
        const auto server = self.lock();
        if (!server || failed == asio::error::operation_aborted || !server->acceptor_.is_open())
          return;
        if (failed) return server->RetryAccept();
        server->OnAccepted(std::move(socket));
        server->Accept();
      });
}

void http_server::impl::RetryAccept() {
  // Usually the process is out of file descriptors. Evicts an idle connection and waits before the
  // next accept, so that the loop does not spin.
  EvictIdle();
  retry_timer_.expires_after(kAcceptRetryDelay);
  retry_timer_.async_wait([self = weak_from_this()](boost::system::error_code failed) {
    const auto server = self.lock();
    if (!failed && server && server->acceptor_.is_open()) server->Accept();
  });
}

bool http_server::impl::EvictIdle() {
  const auto unused = std::find_if(
      idle_.begin(), idle_.end(), [](http_session* session) { return !session->HasUnreadBytes(); });
  if (unused == idle_.end()) return false;
  evicted_.Add();
  (*unused)->CloseWhenIdle();
  return true;
}

http_session* http_server::impl::OnAccepted(tcp::socket socket) {
  accepted_.Add();
  if (sessions_.size() >= limits_.connections && !EvictIdle()) {
    over_limit_.Add();
    return nullptr;
  }
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  std::string remote = socket.remote_endpoint(ignored).address().to_string();
  boost::beast::tcp_stream stream(std::move(socket));
  if (!tls_) return Open(std::move(stream), std::move(remote));
  return Open(boost::beast::ssl_stream<boost::beast::tcp_stream>(std::move(stream), *tls_),
              std::move(remote));
}

template <typename Stream>
http_session* http_server::impl::Open(Stream stream, std::string remote) {
  auto session = std::make_shared<http_stream_session<Stream>>(std::move(stream), weak_from_this(),
                                                               limits_, budget_);
  session_entry& entry = sessions_[session.get()];
  entry.session = session;
  entry.remote = std::move(remote);
  open_.Set(sessions_.size());
  if (close_after_answers_) session->CloseAfterAnswer();
  session->Start();
  return session.get();
}

request_id http_server::impl::OnSessionRequest(http_session& session, http_request request) {
  const request_id id(random_.Draw());
  requests_[id] = &session;
  if (auto refusal = handler_.RefusalFor(sessions_[&session].remote)) {
    session.Answer(std::move(*refusal));
  } else {
    handler_.OnRequest(id, std::move(request));
  }
  return requests_.count(id) > 0 ? id : request_id();
}

http_answer http_server::impl::OnSessionFull(std::uint64_t bytes) {
  refused_unread_.Add();
  http_answer refusal = TransportProblem(503, "host_full");
  // Jitter, so that callers refused at the same time do not return at the same time.
  const double after = ToSeconds(kRetryWhenFull) * (1 + 0.5 * random_.Fraction());
  refusal.headers.push_back({"Retry-After", std::to_string(after)});
  handler_.OnRefusedUnread(bytes, refusal);
  return refusal;
}

void http_server::impl::OnSessionDone(request_id request, bool gone) {
  requests_.erase(request);
  if (gone) handler_.OnCallerGone(request);
}

void http_server::impl::OnSessionIdle(http_session& session, bool idle) {
  const auto found = sessions_.find(&session);
  if (found == sessions_.end() || found->second.idle == idle) return;
  found->second.idle = idle;
  if (idle) {
    found->second.idle_position = idle_.insert(idle_.end(), &session);
  } else {
    idle_.erase(found->second.idle_position);
  }
}

void http_server::impl::OnSessionClosed(http_session& session) {
  OnSessionIdle(session, false);
  sessions_.erase(&session);
  open_.Set(sessions_.size());
}

http_server::http_server(asio::io_context& io, http_handler& handler, random_source& random,
                         metrics_registry& metrics, std::string_view name, http_limits limits,
                         std::shared_ptr<asio::ssl::context> tls,
                         std::shared_ptr<byte_budget> budget)
    : impl_(std::make_shared<impl>(io, handler, random, metrics, name, limits, std::move(tls),
                                   std::move(budget))) {}

http_server::~http_server() { impl_->StopListening(); }

expected<std::uint16_t> http_server::Listen(std::string_view address) {
  auto port = impl_->Bind(address);
  if (!port) return port;
  const auto listens = impl_->Listen();
  if (!listens) return tl::make_unexpected(listens.error());
  return port;
}

expected<std::uint16_t> http_server::Bind(std::string_view address) { return impl_->Bind(address); }

expected<void> http_server::Listen() { return impl_->Listen(); }

void http_server::SetLimits(const http_limits& limits) { impl_->SetLimits(limits); }

void http_server::CloseAfterAnswers() { impl_->CloseAfterAnswers(); }

void http_server::StopListening() { impl_->StopListening(); }

void http_server::ReplaceTls(std::shared_ptr<asio::ssl::context> tls) {
  impl_->ReplaceTls(std::move(tls));
}

bool http_server::IsOpen(request_id request) const {
  return impl_->FindSession(request) != nullptr;
}

std::size_t http_server::connections() const { return impl_->connections(); }

std::size_t http_server::busy_connections() const { return impl_->busy_connections(); }

void http_server::Answer(request_id request, http_answer answer) {
  if (http_session* session = impl_->FindSession(request)) session->Answer(std::move(answer));
}

void http_server::Begin(request_id request, int status, std::vector<http_header> headers) {
  if (http_session* session = impl_->FindSession(request)) {
    session->Begin(status, std::move(headers));
  }
}

void http_server::Write(request_id request, std::string_view bytes) {
  if (http_session* session = impl_->FindSession(request)) session->Write(bytes);
}

void http_server::End(request_id request) {
  if (http_session* session = impl_->FindSession(request)) session->End();
}

std::size_t http_server::UnsentBytes(request_id request) const {
  const http_session* session = impl_->FindSession(request);
  return session == nullptr ? 0 : session->unsent_bytes();
}

void http_server::Abort(request_id request) {
  if (http_session* session = impl_->FindSession(request)) session->Abort();
}

}  // namespace hawthorndrum
