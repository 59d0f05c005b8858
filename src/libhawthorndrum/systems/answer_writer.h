/// Writes answers to callers, and counts and traces how requests end.
#pragma once

#include <set>
#include <string>

#include "base/http_message.h"
#include "base/outcome.h"
#include "systems/problem_answer.h"
#include "systems/request_ports.h"
#include "systems/sse_parser.h"
#include "tables/attempt_row.h"
#include "tables/request_row.h"

namespace hawthorndrum {

class decision_log;

/**
 * The only writer to the caller port. A stream that is cut off ends with an error event and an
 * aborted connection, never with `[DONE]` or a clean end.
 */
class answer_writer {
 public:
  answer_writer(const request_ports& ports, decision_log& decisions);

  /** Refuses a request that has no row yet. */
  void RefuseUnread(request_id request, const refusal& why);
  /**
   * Tells the caller that there is no complete answer: with a problem answer or, if the answer has
   * begun, by aborting it; a stream gets an error event first.
   */
  void Fail(const request_row& request, refusal why);
  void WriteAnswer(const request_row& request, http_answer answer);

  /** Begins a stream of tokens, unless the answer has begun. */
  void BeginStream(request_row& request);
  /** Forwards a token; replaces its id by one from which any daemon can resume the stream. */
  void WriteToken(const request_row& request, upstream_id upstream, sse_event event);
  void EndStream(const request_row& request);

  /** Begins a plain answer whose body is forwarded in parts. */
  void BeginBody(request_row& request, const http_answer& head);
  void WriteBody(const request_row& request, std::string_view bytes);
  void EndBody(const request_row& request);

  void RecordFirstToken(const request_row& request, time_point now);
  /** Records the trace span of one attempt. */
  void RecordAttempt(const request_row& request, const attempt_row& attempt, std::string result);

 private:
  void RecordEnd(const request_row& request, outcome what, std::string code);
  std::string LabelOf(const service_config& service);

  request_ports ports_;
  decision_log& decisions_;
  /** Services with their own metric label; the rest share one, which bounds the metrics' size. */
  std::set<std::string> labelled_services_;
};

}  // namespace hawthorndrum
