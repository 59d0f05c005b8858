/// Error answers: application/problem+json with the outcome.
#pragma once

#include <string>
#include <string_view>

#include "base/http_message.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "base/units.h"

namespace hawthorndrum {

/**
 * Why a caller gets no answer. `retry_after` of 0 means that coming back does not help.
 */
struct refusal {
  int status = 503;
  outcome what = outcome::kNotRun;
  /** A short stable name, for programs and counters. */
  std::string code;
  std::string detail;
  duration retry_after{0};
  /** For a request with an idempotency key that was not run. */
  earlier_requests earlier = earlier_requests::kNotSaid;
};

/** The whole answer for a refusal. */
http_answer ProblemAnswer(const refusal& why, request_id request);

/** The refusal's JSON text, for an error event within a stream. */
std::string ProblemText(const refusal& why, request_id request);

/** An id as 16 hexadecimal digits. */
std::string ToHex(std::uint64_t value);

/** The value of up to 16 hexadecimal digits, or 0 when the text is anything else. */
std::uint64_t FromHex(std::string_view text);

}  // namespace hawthorndrum
