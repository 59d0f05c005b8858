/// Why a request leaves its data centre.
#pragma once

#include <string_view>

namespace hawthorndrum {

enum class crossing_reason {
  /** It stays. */
  kNone,
  /** An upstream there holds more of its prompt than any near one. */
  kCache,
  /** Upstreams there have free slots, and the near ones make it wait. */
  kRoom,
  /** No near upstream takes it in time. */
  kNoneNear,
};

inline std::string_view NameOf(crossing_reason reason) {
  switch (reason) {
    case crossing_reason::kNone:
      return "none";
    case crossing_reason::kCache:
      return "cache";
    case crossing_reason::kRoom:
      return "room";
    case crossing_reason::kNoneNear:
      return "none_near";
  }
  return "none";
}

}  // namespace hawthorndrum
