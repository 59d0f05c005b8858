/// The models that the services in force need.
#pragma once

#include <vector>

#include "base/ids.h"
#include "tables/service_config.h"

namespace hawthorndrum {

class model_catalogue {
 public:
  virtual ~model_catalogue() = default;
  /** Increases whenever Models() may have changed. */
  virtual generation current() const = 0;
  /** Each model once. Costs a pass over all services. */
  virtual std::vector<model_use> Models() const = 0;
};

}  // namespace hawthorndrum
