/// A change of one object in the platform's store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace hawthorndrum {

struct object_change {
  std::string name;
  /** The store's revision at the change; 0 for a removal, which carries none. */
  std::uint64_t revision = 0;
  /** The object's content as the store writes it; none if it was removed. */
  std::optional<std::string> content;
};

}  // namespace hawthorndrum
