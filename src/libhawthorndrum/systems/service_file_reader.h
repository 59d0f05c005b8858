/// Reads service files.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/findings.h"
#include "base/source_location.h"
#include "tables/service_config.h"

namespace hawthorndrum {

/** A service and its location in a file. */
struct service_definition {
  service_config config;
  source_location where;
};

/**
 * Reads the services of one file: one map, or a list of maps. Adds a finding to `found` for each
 * error; services without findings are returned even when others have some.
 */
std::vector<service_definition> ReadServiceFile(const std::string& file, std::string_view text,
                                                findings& found);

/** Adds a finding for each repeated definition of a service. */
void CheckDuplicateServices(const std::vector<service_definition>& services, findings& found);

/** Whether the text is a valid service name: a-z, then a-z, 0-9 and dashes, 63 at most. */
bool IsServiceName(std::string_view name);

}  // namespace hawthorndrum
