/// Reads a daemon's settings file.
#pragma once

#include <string>
#include <string_view>

#include "base/findings.h"
#include "tables/daemon_settings.h"

namespace hawthorndrum {

/**
 * Reads and checks settings. Adds a finding to `found` for each error; unless it is empty, the
 * settings must not be used.
 */
daemon_settings ReadSettings(const std::string& file, std::string_view text, findings& found);

}  // namespace hawthorndrum
