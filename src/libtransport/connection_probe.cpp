/// Opens one connection for the HTTP client without making a call.
#include "connection_probe.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/post.hpp>
#include <utility>

#include "endpoint.h"

namespace hawthorndrum {

namespace asio = boost::asio;

namespace {

/** A connection whose other end is gone is closed after about three seconds without a packet. */
constexpr int kKeepaliveIdleSeconds = 1;
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kKeepaliveProbes = 2;
constexpr unsigned kUserTimeoutMs = 3000;

template <typename Value>
void SetTcpOption(asio::ip::tcp::socket& socket, int level, int name, Value value) {
  // Errors are ignored: without the option a dead connection is only detected later.
  setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

}  // namespace

attempt_failure FailureToConnect(const boost::system::error_code& failed) {
  return LacksResources(failed) ? attempt_failure::kNoResources : attempt_failure::kNotConnected;
}

void SetClientOptions(asio::ip::tcp::socket& socket) {
  SetTcpOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetTcpOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetTcpOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  SetTcpOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  SetTcpOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes);
  SetTcpOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

connection_probe::connection_probe(asio::io_context& io, handler done)
    : io_(io), timer_(io), done_(std::move(done)) {}

void connection_probe::Start(const std::string& address, duration timeout) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    asio::post(io_, [self = shared_from_this()] { self->End(attempt_failure::kNotConnected); });
    return;
  }
  connection_ = std::make_unique<client_connection>(io_.get_executor());
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this()](boost::system::error_code failed) {
    if (!failed) self->End(attempt_failure::kNotConnected);
  });
  connection_->socket.async_connect(
      *endpoint, [self = shared_from_this()](boost::system::error_code failed) {
        self->End(failed ? std::optional(FailureToConnect(failed)) : std::nullopt);
      });
}

void connection_probe::End(std::optional<attempt_failure> failure) {
  if (!done_) return;
  timer_.cancel();
  const handler done = std::exchange(done_, nullptr);
  if (failure) {
    connection_.reset();
    return done(nullptr, *failure);
  }
  SetClientOptions(connection_->socket);
  done(std::move(connection_), {});
}

}  // namespace hawthorndrum
