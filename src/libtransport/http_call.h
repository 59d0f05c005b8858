/// A call that the HTTP client makes.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/http_message.h"
#include "base/strong_id.h"
#include "base/units.h"

namespace hawthorndrum {

/** One call of one client. */
using http_call_id = strong_id<struct http_call_tag>;

/**
 * Names the header by which a server says whose answer it sends. An answer that bears another id
 * is a late one to an earlier request on the connection, and is passed over.
 */
struct answer_id {
  std::string header;
  std::string value;
};

/**
 * One request to `address` (`ip:port`). With `reuse` an idle connection may carry it; such a
 * connection may turn out closed after the request was written. Then the request is sent once more
 * on a fresh one if `resend` allows.
 */
struct http_call {
  std::string address;
  http_request request;
  bool reuse = true;
  bool resend = true;
  /** Connections are kept apart by this besides the address, where an address changes hands. */
  std::uint64_t owner = 0;
  /** A connection that was idle for longer is not used. */
  duration longest_idle = seconds(20);
  duration connect_timeout = seconds(1);
  /** The longest time without a byte once connected; zero for no bound. */
  duration idle_timeout = seconds(60);
  /** The longest time for the whole call; zero for no bound. */
  duration total_timeout{0};
  std::uint64_t answer_bytes = 64 * 1024 * 1024;
  /** Asked once connected, right before the first byte; when false the call ends unsent. */
  std::function<bool()> may_send;
  /** Not checked when `header` is empty. */
  answer_id expected_answer;
};

}  // namespace hawthorndrum
