/// The exit codes of hawthorndrumctl, for scripts.
#pragma once

namespace hawthorndrum {

enum class exit_code {
  kDone = 0,
  /** The input has findings, or the store holds damaged data. Nothing was changed. */
  kRefused = 1,
  kUsage = 2,
  /** Another operator changed the same service. Nothing was changed. */
  kConflict = 3,
  /** The store or the daemon could not be reached. Nothing was changed. */
  kUnavailable = 4,
  /** It is unknown whether the change was made. */
  kUnknown = 5,
  kNotFound = 6,
  kUnauthorised = 7,
  /** Published, but not in force on every daemon within the time given. */
  kNotYet = 8,
};

}  // namespace hawthorndrum
