/// Read access to the configuration in force.
#pragma once

#include <memory>
#include <string_view>

#include "base/ids.h"
#include "tables/service_config.h"

namespace hawthorndrum {

/**
 * The configuration in force. A request keeps the pointer that Find returned at its start, so that
 * a new generation does not change its configuration.
 */
class config_view {
 public:
  virtual ~config_view() = default;
  /** Returns the service's configuration, or nullptr. */
  virtual std::shared_ptr<const service_config> Find(std::string_view service) const = 0;
  /** The generation in force; 0 while there is none. */
  virtual generation current() const = 0;
};

}  // namespace hawthorndrum
