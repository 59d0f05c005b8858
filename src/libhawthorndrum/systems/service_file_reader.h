/// Reads service files.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/findings.h"
#include "base/place.h"
#include "tables/service_config.h"

namespace hawthorndrum {

/** A service and where its file states it. */
struct stated_service {
  service_config config;
  place where;
};

/**
 * Reads the services of one file: one map, or a list of maps. Everything that is wrong is added to
 * `found`; services without findings are returned also when others have some.
 */
std::vector<stated_service> ReadServiceFile(const std::string& file, std::string_view text,
                                            findings& found);

/** Adds a finding for every service that two places state. */
void CheckServicesTogether(const std::vector<stated_service>& services, findings& found);

/** Whether the text may name a service: a letter, then letters, digits and dashes, 63 at most. */
bool IsServiceName(std::string_view name);

}  // namespace hawthorndrum
