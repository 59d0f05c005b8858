/// Pool of the HTTP client's idle connections.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "base/units.h"
#include "head_buffer.h"

namespace hawthorndrum {

/** Returns whether the error is a lack of this host's own descriptors, ports or buffers. */
bool LacksResources(const boost::system::error_code& failed);

/** A connection to an upstream, with the bytes already read from it but not yet parsed. */
struct client_connection {
  static constexpr std::size_t kMaxAnswered = 32;
  /** The maximum size of a head, or of a chunk's header or trailer. */
  static constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;

  explicit client_connection(const boost::asio::any_io_executor& executor) : socket(executor) {}
  boost::asio::ip::tcp::socket socket;
  head_buffer buffer{kMaxUnparsedBytes};
  bool used_before = false;
  /** Ids of the last requests answered on it, the latest at the end. */
  std::deque<std::string> answered;
};

/**
 * Keeps idle connections for reuse and hands out the most recently used one first.
 *
 * Invariant: a connection in the pool has an empty buffer and belongs to no call; size_ is their
 * number, at most kMaxIdle.
 */
class connection_pool {
 public:
  /** Bounds the descriptors of all connections in the pool. */
  static constexpr std::size_t kMaxIdle = 800;

  /** An address and its current owner; see http_call::owner. */
  using key = std::pair<std::string, std::uint64_t>;

  /**
   * Removes and returns a connection that was idle for at most `longest_idle` and seems open; null
   * if there is none. A connection on which a request of that id was answered before is closed: a
   * late copy of that answer could not be told from the next one.
   */
  std::unique_ptr<client_connection> Take(const key& to, duration longest_idle,
                                          std::string_view id);
  /** Adds a connection to the pool for at most `keep_for`. */
  void Keep(const key& to, std::unique_ptr<client_connection> connection, duration keep_for);
  /**
   * Closes connections whose time has expired, that the other side closed, or on which it sent
   * unexpected bytes.
   */
  void Sweep();
  /** Closes the connection that was idle for longest; returns false if there is none. */
  bool CloseLongestIdle();
  /**
   * Opens the socket for a connection. While this host lacks resources for it, idle connections are
   * closed, those that were idle for longest first. If none is left, the socket stays closed.
   */
  void Open(boost::asio::ip::tcp::socket& socket, const boost::asio::ip::tcp::endpoint& to);
  std::size_t size() const { return size_; }

 private:
  using steady_time = std::chrono::steady_clock::time_point;
  struct idle_connection {
    std::unique_ptr<client_connection> connection;
    steady_time since;
    steady_time until;
  };

  /** Whether the other side has neither closed the connection nor sent unexpected bytes. */
  static bool IsReusable(client_connection& idle);

  /** The connections of each key, the longest idle ones first. */
  std::map<key, std::deque<idle_connection>> idle_;
  std::size_t size_ = 0;
};

}  // namespace hawthorndrum
