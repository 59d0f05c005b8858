/// A row of the attempt table: one attempt of a request at one upstream.
#pragma once

#include <cstdint>
#include <string>

#include "base/http_message.h"
#include "base/ids.h"
#include "base/table.h"
#include "base/units.h"
#include "systems/sse_parser.h"

namespace hawthorndrum {

/**
 * One attempt. Events whose attempt has no row are late, duplicate or foreign, and are dropped.
 */
struct attempt_row {
  attempt_id id;
  request_id request;
  upstream_id upstream;
  /** The data centre that the request was spilled to; empty when it runs in this one. */
  std::string spilled_to;
  std::uint64_t upstream_incarnation = 0;
  time_point sent;
  /** The estimated number of tokens that the upstream must prefill. */
  std::uint64_t prefill_tokens = 0;
  duration estimated_first_token{0};
  duration estimated_whole{0};
  /** When the last token arrived. */
  time_point last_token;
  bool has_head = false;
  bool has_bytes = false;
  /** Status, headers and the body so far, of an answer that is not relayed as a stream. */
  http_answer answer;
  /** Whether the body is relayed token by token. */
  bool relays = false;
  sse_parser parser;
  bool saw_done = false;
  std::uint64_t span = 0;
};

using attempt_table = table<attempt_id, attempt_row>;

}  // namespace hawthorndrum
