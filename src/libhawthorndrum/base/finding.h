/// A problem found in an input file, with its location.
#pragma once

#include <string>

#include "base/source_location.h"

namespace hawthorndrum {

/**
 * A problem in an input file: its location, a message, and a hint for correcting it (may be empty).
 */
struct finding {
  source_location where;
  std::string message;
  std::string hint;
};

}  // namespace hawthorndrum
