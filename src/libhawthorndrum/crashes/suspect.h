/// What may have crashed an upstream: a part of a prompt or a whole request.
#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace hawthorndrum {

struct suspect {
  /** Depth of a whole request; it is more specific than any part. */
  static constexpr std::uint8_t kRequestDepth = 255;

  suspect_id id;
  /** Position of the part in its prompt; fewer prompts share the parts at larger depths. */
  std::uint8_t depth = 0;
};

/** Returns the name that log lines use. */
std::string NameOf(suspect_id id);

}  // namespace hawthorndrum
