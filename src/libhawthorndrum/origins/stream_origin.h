/// Which software a stream began at.
#pragma once

#include <string_view>

#include "base/hash.h"
#include "base/ids.h"

namespace hawthorndrum {

/** Events of one build do not continue a stream that began at another one. */
inline software_build BuildOf(std::string_view service, std::string_view software_version) {
  return software_build(Hash64(software_version, Hash64(service)));
}

}  // namespace hawthorndrum
