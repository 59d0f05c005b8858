/// The demand that services place on the engines of a data centre.
#pragma once

#include <cstdint>
#include <vector>

#include "tables/service_config.h"

namespace hawthorndrum {

/**
 * The demand for one model: tokens a second that callers requested recently (served or refused),
 * and how many engines must have it ready regardless of demand.
 */
struct model_demand {
  model_use model;
  double prefill_tokens_per_second = 0;
  double decode_tokens_per_second = 0;
  std::uint32_t floor = 1;
};

/**
 * Provides the demand of this data centre. Every model that a service in force needs has an entry,
 * even if nobody requests it.
 */
class demand_source {
 public:
  virtual ~demand_source() = default;
  virtual std::vector<model_demand> Demand() const = 0;
};

}  // namespace hawthorndrum
