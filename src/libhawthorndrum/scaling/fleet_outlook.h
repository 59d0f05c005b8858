/// Tells whether the upstreams of a service are being exchanged.
#pragma once

#include <string_view>

#include "base/units.h"

namespace hawthorndrum {

class fleet_outlook {
 public:
  virtual ~fleet_outlook() = default;
  /** Whether upstreams that were ordered are starting, or some are going. */
  virtual bool IsChanging(std::string_view service, time_point now) const = 0;
};

}  // namespace hawthorndrum
