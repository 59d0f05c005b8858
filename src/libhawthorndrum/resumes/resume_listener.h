/// Receives requests that resume a stream, once the stream's build is known.
#pragma once

#include "base/ids.h"

namespace hawthorndrum {

struct arrived_request;

class resume_listener {
 public:
  virtual ~resume_listener() = default;

  /** The request may run at upstreams of this build only. */
  virtual void OnResumeKnown(arrived_request arrived, software_build build) = 0;
  /** Nobody knows the stream's build; the request must not run. */
  virtual void OnResumeUnknown(const arrived_request& arrived) = 0;
};

}  // namespace hawthorndrum
