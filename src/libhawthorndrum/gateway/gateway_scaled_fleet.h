/// The services whose number of upstreams follows the demand, as the gateway sees them.
#pragma once

#include "scaling/scaled_fleet.h"

namespace hawthorndrum {

class gateway;

class gateway_scaled_fleet : public scaled_fleet {
 public:
  explicit gateway_scaled_fleet(gateway& served) : gateway_(served) {}

  std::vector<scaled_service> Services(time_point now) override;
  bool IsComplete(time_point now) const override;

 private:
  gateway& gateway_;
};

}  // namespace hawthorndrum
