/// Opens one connection for the HTTP client without making a call.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/units.h"
#include "connection_pool.h"
#include "ports/attempt_event.h"

namespace hawthorndrum {

/** Returns the failure of a call or probe whose attempt to connect ended with this error. */
attempt_failure FailureToConnect(const boost::system::error_code& failed);

/** Sets the client's TCP options, which bound the time until a dead connection is detected. */
void SetClientOptions(boost::asio::ip::tcp::socket& socket);

/**
 * Makes one attempt to connect. The handler receives the open connection, or null and why the
 * attempt failed. The object keeps itself alive until then.
 */
class connection_probe : public std::enable_shared_from_this<connection_probe> {
 public:
  using handler =
      std::function<void(std::unique_ptr<client_connection> opened, attempt_failure failure)>;

  connection_probe(boost::asio::io_context& io, handler done);

  /** Starts the attempt. The handler is never called from within Start. */
  void Start(const std::string& address, duration timeout);

 private:
  void End(std::optional<attempt_failure> failure);

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<client_connection> connection_;
  handler done_;
};

}  // namespace hawthorndrum
