/// Where in a file a finding was made.
#pragma once

#include <string>

namespace hawthorndrum {

/**
 * A place in a text file. Line and column count from 1; 0 means that it is not known.
 */
struct place {
  std::string file;
  int line = 0;
  int column = 0;
};

}  // namespace hawthorndrum
