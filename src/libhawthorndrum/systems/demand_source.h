/// What the services ask of the engines of a data centre.
#pragma once

#include <cstdint>
#include <vector>

#include "tables/service_config.h"

namespace hawthorndrum {

/**
 * The demand for one model: tokens a second that callers asked for lately (served or refused), and
 * how many engines must have it ready whatever the demand.
 */
struct model_demand {
  model_use model;
  double prefill_tokens_per_second = 0;
  double decode_tokens_per_second = 0;
  std::uint32_t floor = 1;
};

/**
 * Knows the demand of this data centre: every model that a service in force needs has an entry,
 * also when nobody asks for it.
 */
class demand_source {
 public:
  virtual ~demand_source() = default;
  virtual std::vector<model_demand> Demand() const = 0;
};

}  // namespace hawthorndrum
