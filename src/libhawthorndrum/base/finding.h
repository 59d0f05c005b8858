/// One thing found wrong in an input, with its place.
#pragma once

#include <string>

#include "base/place.h"

namespace hawthorndrum {

/**
 * A finding: its place, what is wrong, and a hint for mending it (may be empty).
 */
struct finding {
  place where;
  std::string message;
  std::string hint;
};

}  // namespace hawthorndrum
