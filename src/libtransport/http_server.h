/// HTTP/1.1 server built on Boost.Beast, with or without TLS.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "base/error.h"
#include "http_limits.h"
#include "ports/caller_port.h"

namespace boost::asio {
class io_context;
namespace ssl {
class context;
}
}  // namespace boost::asio

namespace hawthorndrum {

class byte_budget;
class http_handler;
class metrics_registry;
class random_source;

/**
 * Accepts connections and passes complete requests to its handler, one at a time per connection.
 * Requests that violate HTTP or a limit are answered here and never reach the handler.
 */
class http_server : public caller_port {
 public:
  /**
   * `name` is the label of the metrics. With a TLS context only TLS connections are served. With a
   * budget, requests that don't fit are answered 503 before they are read.
   */
  http_server(boost::asio::io_context& io, http_handler& handler, random_source& random,
              metrics_registry& metrics, std::string_view name, http_limits limits,
              std::shared_ptr<boost::asio::ssl::context> tls = nullptr,
              std::shared_ptr<byte_budget> budget = nullptr);
  ~http_server() override;

  /** Listens on `ip:port`; port 0 chooses a free one. Returns the port. */
  expected<std::uint16_t> Listen(std::string_view address);
  /** The first half of Listen: holds the address, and connections are refused until Listen. */
  expected<std::uint16_t> Bind(std::string_view address);
  /** Lets connections be made to the address. After an error it is no longer bound. */
  expected<void> Listen();
  /** Applies the limits at once to idle connections, to the others after their current request. */
  void SetLimits(const http_limits& limits);
  /**
   * Closes every connection after its next answer, which announces it. New connections are still
   * accepted.
   */
  void CloseAfterAnswers();
  /**
   * Accepts the connections that were made already, then closes the listening socket and idle
   * connections; the others are closed after their answer. A
   * connection with a request that has arrived but was not read yet is not idle.
   */
  void StopListening();
  /** Sets the TLS context of connections made from now on. */
  void ReplaceTls(std::shared_ptr<boost::asio::ssl::context> tls);
  /** Whether the request arrived here and its answer is not complete. */
  bool IsOpen(request_id request) const;
  std::size_t connections() const;
  /** The number of connections on which a request is being read or answered. */
  std::size_t busy_connections() const;

  void Answer(request_id request, http_answer answer) override;
  void Begin(request_id request, int status, std::vector<http_header> headers) override;
  void Write(request_id request, std::string_view bytes) override;
  void End(request_id request) override;
  void Abort(request_id request) override;
  std::size_t UnsentBytes(request_id request) const override;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace hawthorndrum
