/// One service in a published configuration, with its last change.
#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "tables/service_config.h"

namespace hawthorndrum {

/**
 * A `removed` entry is kept for a while, so that a concurrent publisher learns who removed the
 * service. Only the name in its `config` is meaningful.
 */
struct config_entry {
  service_config config;
  bool removed = false;
  generation changed_in;
  std::string changed_by;
  /** Seconds since 1970 on the publisher's clock. */
  std::int64_t changed_at = 0;
};

}  // namespace hawthorndrum
