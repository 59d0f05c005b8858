/// The observer of the callers' demand.
#pragma once

#include <cstdint>

#include "tables/service_config.h"

namespace hawthorndrum {

/**
 * Is notified of every model request that was read, whether it is served or refused.
 */
class demand_observer {
 public:
  virtual ~demand_observer() = default;
  virtual void OnModelRequest(const model_use& model, std::uint64_t prompt_tokens,
                              std::uint64_t output_tokens) = 0;
};

}  // namespace hawthorndrum
