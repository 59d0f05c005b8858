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
 * Why a caller gets no answer. A `retry_after` of 0 means that a retry does not help.
 */
struct refusal {
  int status = 503;
  outcome what = outcome::kNotRun;
  /** A short stable name, for programs and counters. */
  std::string code;
  std::string detail;
  duration retry_after{0};
  /** For a request with an idempotency key that was not run: what is known of earlier ones. */
  earlier_requests earlier = earlier_requests::kOmitted;
};

/** Returns the complete HTTP answer for a refusal. */
http_answer ProblemAnswer(const refusal& why, request_id request);

/** Returns the refusal's JSON text, for an error event within a stream. */
std::string ProblemText(const refusal& why, request_id request);

/** Returns an id as 16 hexadecimal digits. */
std::string ToHex(std::uint64_t value);

/** Returns the value of up to 16 hexadecimal digits, or 0 for any other text. */
std::uint64_t FromHex(std::string_view text);

}  // namespace hawthorndrum
