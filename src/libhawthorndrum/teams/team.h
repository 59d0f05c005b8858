/// A team, whose callers identify themselves by keys.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace hawthorndrum {

struct team {
  std::string name;
  std::vector<std::string> keys;
  /** Takes precedence over the route's priority; 0 is the most urgent. */
  std::optional<int> priority;

  friend bool operator==(const team& a, const team& b) {
    return a.name == b.name && a.keys == b.keys && a.priority == b.priority;
  }
};

}  // namespace hawthorndrum
