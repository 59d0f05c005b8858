/// Receives the outcomes of calls to the platform's API.
#pragma once

#include "base/ids.h"

namespace hawthorndrum {

enum class duty_outcome {
  /** The platform accepted the call. */
  kAccepted,
  /** The platform refused it, and it has no effect; the same call may succeed later. */
  kRefused,
  /** The platform has none of the upstreams that were ordered at present. */
  kNoneAvailable,
  /** Nothing was sent. */
  kNotSent,
  /** It was sent and not answered: it may have been accepted, or may still be. */
  kUnknown,
};

class duty_listener {
 public:
  virtual ~duty_listener() = default;
  virtual void OnDutyAnswer(duty_call_id call, duty_outcome outcome) = 0;
};

}  // namespace hawthorndrum
