/// Whether a daemon should get callers' requests.
#pragma once

namespace hawthorndrum {

class readiness {
 public:
  virtual ~readiness() = default;
  /** What the platform's balancer goes by. */
  virtual bool IsReady() const = 0;
};

}  // namespace hawthorndrum
