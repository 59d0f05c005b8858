/// The events by which the I/O layer reports on an attempt at an upstream.
#pragma once

#include <string>
#include <vector>

#include "base/http_message.h"
#include "base/ids.h"

namespace hawthorndrum {

/** A new connection was opened for the attempt. */
struct attempt_connected {
  attempt_id attempt;
};

/** The answer's status line and headers have arrived. */
struct attempt_head {
  attempt_id attempt;
  int status = 0;
  std::vector<http_header> headers;
};

/** Bytes of the answer's body, transfer coding removed. */
struct attempt_bytes {
  attempt_id attempt;
  std::string bytes;
};

/** The complete answer has arrived. */
struct attempt_finished {
  attempt_id attempt;
  /** The answer had neither a length nor chunks; its connection was closed, but not reset. */
  bool by_close = false;
};

enum class attempt_failure {
  kNotConnected,
  kConnectionLost,
  kMalformed,
  kTimeout,
  /** This host had no descriptor, port or buffer left, which says nothing about the upstream. */
  kNoResources,
};

/**
 * The attempt ended without a complete answer. `bytes_sent` is false only when no byte of the
 * request can have reached the upstream.
 */
struct attempt_lost {
  attempt_id attempt;
  attempt_failure failure = attempt_failure::kConnectionLost;
  bool bytes_sent = true;
};

/** A probe ended: an attempt to connect without sending a request. */
struct probe_ended {
  upstream_id upstream;
  bool connected = false;
  /** False if this host lacked the resources to connect. */
  bool was_tried = true;
};

}  // namespace hawthorndrum
