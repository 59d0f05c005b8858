/// Interface that reports whether a daemon should receive callers' requests.
#pragma once

namespace hawthorndrum {

class readiness {
 public:
  virtual ~readiness() = default;
  /** Served at `/readyz`, which the platform's load balancer uses. */
  virtual bool IsReady() const = 0;
};

}  // namespace hawthorndrum
