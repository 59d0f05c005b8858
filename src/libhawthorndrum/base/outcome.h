/// The outcome of a request, as reported to its caller.
#pragma once

#include <string_view>

namespace hawthorndrum {

/**
 * kNotRun: the request did not run. Reported only if no byte of it can have reached an upstream, or
 * the upstream proved that it did not start. kUnknown: it may have run. kFailed: it ran and did not
 * succeed.
 */
enum class outcome { kAnswered, kNotRun, kUnknown, kFailed };

/**
 * What is known about earlier requests with the same idempotency key when the outcome is kNotRun.
 * kNone: this daemon held the key's claim, and none had run. kUnknown: this daemon can't tell.
 * kOmitted: the answer does not mention them, for example because the request has no key.
 */
enum class earlier_requests { kOmitted, kNone, kUnknown };

constexpr std::string_view ToText(outcome value) {
  switch (value) {
    case outcome::kAnswered:
      return "answered";
    case outcome::kNotRun:
      return "not_run";
    case outcome::kUnknown:
      return "unknown";
    case outcome::kFailed:
      return "failed";
  }
  return "unknown";
}

}  // namespace hawthorndrum
