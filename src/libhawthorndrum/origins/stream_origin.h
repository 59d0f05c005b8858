/// Which software a stream began at.
#pragma once

#include <string_view>

#include "base/hash.h"
#include "base/ids.h"

namespace hawthorndrum {

/** Events of one build do not continue a stream that began at another one. */
struct stream_origin {
  stream_key key;
  /** None in a question, and in the answer of a daemon that does not know the stream. */
  software_build build;
};

/** Returns the key of a stream whose first event the attempt of that id brought. */
inline stream_key StreamKeyOf(std::string_view caller_id) { return stream_key(Hash64(caller_id)); }

inline software_build BuildOf(std::string_view service, std::string_view software_version) {
  return software_build(Hash64(software_version, Hash64(service)));
}

}  // namespace hawthorndrum
