/// A row of the request table: one caller's request and its progress.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/http_message.h"
#include "base/ids.h"
#include "base/table.h"
#include "base/units.h"
#include "tables/service_config.h"

namespace hawthorndrum {

/**
 * kClaiming: waits for the claim gate. kQueued: may be sent as soon as an upstream has room.
 * kBackoff: waits for `wake_at` before its next attempt. kInFlight: an attempt is open.
 * kDetached: the caller has its answer or has gone; the attempt goes on so that its claim is
 * settled.
 */
enum class request_state { kClaiming, kQueued, kBackoff, kInFlight, kDetached };

/** The ids of W3C Trace Context that a request belongs to. */
struct trace_context {
  std::uint64_t trace_high = 0;
  std::uint64_t trace_low = 0;
  std::uint64_t parent = 0;
  std::uint64_t span = 0;
};

/**
 * One request. Invariants: `attempt` is set exactly in kInFlight and kDetached; `service` never
 * changes, so a request ends under the configuration that it began with; a request with a claim
 * gets exactly one report.
 */
struct request_row {
  request_id id;
  std::shared_ptr<const service_config> service;
  std::string method;
  /** The path behind `/services/<service>`, with its query. */
  std::string path;
  std::vector<http_header> headers;
  std::string body;

  int priority = 5;
  time_point arrived;
  /** When the answer stops being useful: admission refuses what can't be answered by then. */
  time_point useful_by;
  /** When the caller is told that there is no answer. */
  time_point deadline;

  bool stream = false;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_tokens = 0;
  /** Chained hashes of the prompt's complete pieces. */
  std::vector<std::uint64_t> prefix;
  /** Hash over service, method, path and body: the same for a resend. */
  std::uint64_t fingerprint = 0;
  std::string idempotency_key;
  bool repeatable = true;

  request_state state = request_state::kQueued;
  time_point wake_at;
  attempt_id attempt;
  std::uint32_t attempts = 0;
  std::vector<upstream_id> tried;
  /** Whether an upstream may have started it. */
  bool may_have_run = false;
  bool claim_held = false;
  /** Whether it was spilled here from another data centre. */
  bool spilled = false;
  /** Whether it was spilled to another data centre. */
  bool spill_tried = false;
  /** Whether no upstream of this data centre could take it when it arrived. */
  bool refused_here = false;
  /** Whether its attempt runs as a suspect, which shares the upstream with no other request. */
  bool runs_alone = false;
  bool caller_gone = false;
  /** Whether the head of the answer was sent to the caller. */
  bool answer_begun = false;
  /** Tokens that the caller has, counted from the start of the complete answer. */
  std::uint64_t offset = 0;
  /** The upstream named by Last-Event-ID, which may still hold the stream. */
  upstream_id preferred;
  trace_context trace;
  std::string last_problem;
};

using request_table = table<request_id, request_row>;

}  // namespace hawthorndrum
