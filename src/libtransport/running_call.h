/// A call of the HTTP client from its start to its answer.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <memory>
#include <optional>

#include "http_call.h"
#include "http_wire.h"
#include "ports/attempt_event.h"

namespace boost::asio {
class io_context;
}

namespace hawthorndrum {

class connection_pool;
class http_call_listener;
struct client_connection;

/** The client that a call belongs to. */
class call_owner {
 public:
  virtual ~call_owner() = default;
  virtual connection_pool& connections() = 0;
  /** The call has ended and must not be cancelled any more. */
  virtual void Remove(http_call_id id) = 0;
};

/**
 * One call on one connection at a time. The answer is read while the request is being written,
 * since a server may answer before it has read the whole request.
 *
 * An answer without a length or chunks is whole only if its connection was closed and not reset.
 * The system reports a reset to one call only: when that is a write, the next read sees an end. So
 * such an answer is whole only once the request is written.
 *
 * Invariant: after ended_ is set the listener is not called, except for the final OnFinished or
 * OnLost.
 */
class running_call : public std::enable_shared_from_this<running_call> {
 public:
  running_call(std::weak_ptr<call_owner> owner, boost::asio::io_context& io, http_call_id id,
               http_call call, http_call_listener& listener);

  void Start(std::unique_ptr<client_connection> reused);
  void Stop();
  void Close();
  void SetPaused(bool paused);

 private:
  void Connect();
  void OnConnected(boost::system::error_code failed);
  void Send();
  void OnWritten(boost::system::error_code failed);
  void ExpireAfter(duration time);
  void ReadHead();
  void OnHeadRead(boost::system::error_code failed);
  bool IsForAnotherRequest() const;
  bool MayBeForAnotherRequest() const;
  void ReadBody();
  void OnBodyRead(boost::system::error_code failed);
  void DeliverBody();
  /** Ends the call with an answer that ends with its connection. */
  void FinishByClose();
  void Finish();
  void Fail(attempt_failure failure);
  void FailWithError(boost::system::error_code failed);
  bool RetryOnFreshConnection();

  std::weak_ptr<call_owner> owner_;
  boost::asio::io_context& io_;
  boost::asio::steady_timer total_timer_;
  boost::asio::steady_timer idle_timer_;
  http_call_id id_;
  http_call call_;
  http_call_listener& listener_;
  /** Shared with the asynchronous operations on it, which may complete after the call has ended. */
  std::shared_ptr<client_connection> connection_;
  std::optional<beast_request> message_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  /** How often idle_timer_ was armed or cancelled. */
  std::uint64_t idle_timer_uses_ = 0;
  bool bytes_sent_ = false;
  /** Whether the request is written, or writing it has failed. */
  bool written_ = false;
  bool write_failed_ = false;
  /** Whether the connection has ended an answer while the request was still being written. */
  bool end_waits_ = false;
  /** Whether the body is not read, and whether a read waits for the end of that. */
  bool paused_ = false;
  bool read_waits_ = false;
  bool discarding_ = false;
  int unrelated_answers_ = 0;
  std::size_t discarded_bytes_ = 0;
  bool ended_ = false;
};

}  // namespace hawthorndrum
