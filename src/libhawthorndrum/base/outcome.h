/// What a caller is told about a request that was not answered whole.
#pragma once

#include <string_view>

namespace hawthorndrum {

/**
 * kNotRun is said only when no byte of the request can have reached an upstream, or the upstream
 * proved that it did not start. kUnknown: it may have run. kFailed: it ran and did not succeed.
 */
enum class outcome { kAnswered, kNotRun, kUnknown, kFailed };

/**
 * What is known of earlier requests with the same idempotency key, beside a kNotRun. kNone: this
 * daemon held the key's claim, and none had run. kUnknown: it can't tell here. kNotSaid: the
 * request has no key.
 */
enum class earlier_requests { kNotSaid, kNone, kUnknown };

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
