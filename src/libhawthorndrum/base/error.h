/// The error type that the core's functions return through tl::expected.
#pragma once

#include <string>
#include <tl/expected.hpp>

namespace hawthorndrum {

enum class error_code {
  kInvalid,
  kNotFound,
  kConflict,
  kTooLarge,
  kUnavailable,
  kUnknownOutcome,
  kUnauthorised,
  kTimeout,
};

/**
 * What went wrong: a code to act on and a text for people.
 */
struct error {
  error_code code = error_code::kInvalid;
  std::string message;
};

template <typename T>
using expected = tl::expected<T, error>;

}  // namespace hawthorndrum
