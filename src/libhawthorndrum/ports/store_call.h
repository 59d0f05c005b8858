/// Calls to the object store and their answers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/units.h"

namespace hawthorndrum {

enum class store_operation { kGet, kCreate, kUpdate, kRemove, kList, kWatch };

/**
 * One call. kUpdate and kRemove act only while the object has `expected`. For kList and kWatch
 * `key` is a prefix; kWatch answers at the first change after revision `expected`.
 */
struct store_call {
  store_operation operation = store_operation::kGet;
  std::string key;
  object_version expected;
  std::string value;
  duration timeout = seconds(2);
};

/**
 * kDone: the call took effect (or was read). kConflict: no effect, another version is present.
 * kMissing: no effect, there is no such object. kRefused: no effect, the store is over its rate
 * limit or unavailable, or nothing was sent. kUnknown: a write may have taken effect, or may later;
 * the caller has to read back. kStale: a watch's revision is too old, the caller has to list again.
 */
enum class store_outcome { kDone, kConflict, kMissing, kRefused, kUnknown, kStale };

struct store_entry {
  std::string key;
  object_version version;
  bool deleted = false;
};

/**
 * The answer to one call. `version` is the object's version (for kConflict: the one that is
 * present, if known), or the revision of a list or watch. `entries` belong to lists and watches.
 */
struct store_answer {
  store_outcome outcome = store_outcome::kUnknown;
  object_version version;
  std::string value;
  std::vector<store_entry> entries;
  /**
   * Rises whenever the store comes back from an older copy, in which versions are given out again;
   * nothing where the store has no such number, or if no answer was received.
   */
  std::optional<std::uint64_t> era;
};

}  // namespace hawthorndrum
