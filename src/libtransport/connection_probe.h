/// Opens one connection of the HTTP client without a call.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "base/units.h"
#include "connection_pool.h"

namespace hawthorndrum {

/** Bounds how long a dead connection of the client goes unnoticed. */
void SetClientOptions(boost::asio::ip::tcp::socket& socket);

/**
 * Tries once; its handler gets the open connection, or null when none came about in time. Keeps
 * itself alive until then.
 */
class connection_probe : public std::enable_shared_from_this<connection_probe> {
 public:
  using handler = std::function<void(std::unique_ptr<client_connection> opened)>;

  connection_probe(boost::asio::io_context& io, handler done);

  /** The handler is not called from within. */
  void Start(const std::string& address, duration timeout);

 private:
  void End(bool connected);

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<client_connection> connection_;
  handler done_;
};

}  // namespace hawthorndrum
