/// A location in an input file.
#pragma once

#include <string>

namespace hawthorndrum {

/**
 * A location in a text file. Lines and columns count from 1; 0 means unknown.
 */
struct source_location {
  std::string file;
  int line = 0;
  int column = 0;
};

}  // namespace hawthorndrum
