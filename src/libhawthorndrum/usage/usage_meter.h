/// Counts the requests that upstreams began to run.
#pragma once

#include <string_view>

#include "base/units.h"

namespace hawthorndrum {

class usage_meter {
 public:
  virtual ~usage_meter() = default;
  /** An upstream began to run a request of the team: its first byte arrived. */
  virtual void OnRequestBegan(std::string_view team, time_point now) = 0;
};

}  // namespace hawthorndrum
