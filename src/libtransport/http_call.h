/// A call of the HTTP client.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/http_message.h"
#include "base/strong_id.h"
#include "base/units.h"

namespace hawthorndrum {

/** Identifies a call within one client. */
using http_call_id = strong_id<struct http_call_tag>;

/**
 * The header that identifies the request that an answer belongs to. An answer with another value is
 * a late answer to an earlier request on the connection and is discarded.
 */
struct answer_id {
  std::string header;
  std::string value;
  /**
   * Whether all answers carry it. On a connection that has carried another request, an answer
   * without it may then be a copy of that one's answer, and the call ends with OnLost.
   */
  bool is_required = false;
};

/**
 * One request to `address` (`ip:port`). With `reuse` it may use an idle connection, which may turn
 * out to be closed after the request was written. With `resend` the request is then sent once more
 * on a new connection.
 */
struct http_call {
  std::string address;
  http_request request;
  bool reuse = true;
  bool resend = true;
  /** Connections are pooled by address and owner, since an address can pass to another owner. */
  std::uint64_t owner = 0;
  /** A connection that was idle for longer is not reused. */
  duration longest_idle = seconds(20);
  duration connect_timeout = seconds(1);
  /**
   * Once connected, the maximum time until the answer's head is complete, and then between two
   * reads of its body; zero for no limit.
   */
  duration idle_timeout = seconds(60);
  /** The maximum duration of the call; zero for no limit. */
  duration total_timeout{0};
  std::uint64_t answer_bytes = 64 * 1024 * 1024;
  /**
   * Called once connected, right before the first byte. If it returns false, nothing is sent and
   * the call ends with OnLost.
   */
  std::function<bool()> may_send;
  /** Not checked when `header` is empty. */
  answer_id expected_answer;
};

}  // namespace hawthorndrum
