/// Idle connections of the HTTP client.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "base/units.h"

namespace hawthorndrum {

/** A connection to an upstream, with what was read ahead on it. */
struct client_connection {
  explicit client_connection(const boost::asio::any_io_executor& executor) : socket(executor) {}
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  bool used_before = false;
};

/**
 * Keeps connections between two calls, the last used first.
 *
 * Invariant: a connection in the pool has an empty buffer and no call.
 */
class connection_pool {
 public:
  /** An address and whose it is at the time; see http_call::owner. */
  using key = std::pair<std::string, std::uint64_t>;

  /** Takes a connection that was idle for at most `longest_idle` and seems open; null for none. */
  std::unique_ptr<client_connection> Take(const key& to, duration longest_idle);
  /** Keeps a connection for at most `keep_for`. */
  void Keep(const key& to, std::unique_ptr<client_connection> kept, duration keep_for);
  /** Closes what was kept for too long or was closed by the other side. */
  void Sweep();
  std::size_t size() const;

 private:
  using steady_time = std::chrono::steady_clock::time_point;
  struct idle_connection {
    std::unique_ptr<client_connection> kept;
    steady_time since;
    steady_time until;
  };

  /** Whether the other side neither closed nor sent anything unasked. */
  static bool IsQuiet(client_connection& idle);

  std::map<key, std::deque<idle_connection>> idle_;
};

}  // namespace hawthorndrum
