/// What could not be used of a configuration's teams.
#pragma once

#include <string>

namespace hawthorndrum {

struct team_problems {
  /** Entries without a usable name; their keys identify nobody. */
  int nameless = 0;
  /** Keys that cannot be sent in a header. */
  int malformed_keys = 0;
  int malformed_priorities = 0;
  /** Keys that teams of different names hold. */
  int shared_keys = 0;
  /** The name, or the position, of the first team with a problem. */
  std::string first;

  bool empty() const { return nameless + malformed_keys + malformed_priorities + shared_keys == 0; }
};

}  // namespace hawthorndrum
