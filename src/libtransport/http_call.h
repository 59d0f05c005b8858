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
 * One request to `address` (`ip:port`). With `reuse` an idle connection may carry it; such a
 * connection may turn out closed after the request was written, so requests that must not be sent
 * twice go without.
 */
struct http_call {
  std::string address;
  http_request request;
  bool reuse = true;
  duration connect_timeout = seconds(1);
  /** The longest time without a byte once connected. */
  duration idle_timeout = seconds(60);
  /** The longest time for the whole call; zero for no bound. */
  duration total_timeout{0};
  std::uint64_t answer_bytes = 64 * 1024 * 1024;
  /** Asked once connected, right before the first byte; when false the call ends unsent. */
  std::function<bool()> may_send;
};

}  // namespace hawthorndrum
