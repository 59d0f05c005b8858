/// One service in a published configuration, with who changed it last.
#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "tables/service_config.h"

namespace hawthorndrum {

/**
 * `removed` entries stay for a while so that a racing operator is told who removed the service;
 * of their `config` only the name counts.
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
