/// The error type that the core's functions return in tl::expected.
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
  /** An address that another socket holds; it may become free. */
  kAddressInUse,
  kUnknownOutcome,
  kUnauthorised,
  kTimeout,
};

/**
 * An error: a code for programs and a message for people.
 */
struct error {
  error_code code = error_code::kInvalid;
  std::string message;
};

template <typename T>
using expected = tl::expected<T, error>;

}  // namespace hawthorndrum
