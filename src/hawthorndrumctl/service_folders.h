/// Collects service files from folders.
#pragma once

#include <string>
#include <vector>

#include "base/findings.h"
#include "systems/service_file_reader.h"

namespace hawthorndrum {

inline constexpr const char* kServiceFileName = "hawthorndrum.yaml";

/**
 * Reads every file named hawthorndrum.yaml below the folders, and every path that is itself a file.
 * Adds all findings to `found`: those of each file and those of the services as a whole.
 */
std::vector<service_definition> CollectServices(const std::vector<std::string>& paths,
                                                findings& found);

}  // namespace hawthorndrum
