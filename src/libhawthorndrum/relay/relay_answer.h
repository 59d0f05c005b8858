/// What a daemon says about a request that was passed on to it.
#pragma once

#include "base/ids.h"

namespace hawthorndrum {

enum class relay_outcome {
  /** The answer is an upstream's. */
  kAnswered,
  /** The request has not run and never will; any daemon would refuse it. */
  kRefused,
  /** The same, but another daemon may serve it. */
  kDeclined,
  /** The same, and the daemon serves no such requests for now. */
  kUnavailable,
  /** The request may have run. */
  kUnknown,
};

struct relay_answer {
  relay_outcome outcome = relay_outcome::kUnknown;
  /** The upstream whose answer it is; none if no upstream answered. */
  upstream_id upstream;
};

}  // namespace hawthorndrum
