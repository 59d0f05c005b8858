/// The record of services that have had one build for long.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/ids.h"

namespace hawthorndrum {

/** What a daemon that has just started cannot see in the host list. */
struct settled_builds {
  /** The era of the store in which it was written; another one's copy proves nothing. */
  std::uint64_t era = 0;
  /** Identifies the services of all routes whose streams resume; 0 if they changed lately. */
  std::uint64_t routes = 0;
  /** By service; absent if it had another build lately. */
  std::map<std::string, software_build, std::less<>> builds;

  friend bool operator==(const settled_builds& a, const settled_builds& b) {
    return a.era == b.era && a.routes == b.routes && a.builds == b.builds;
  }
  friend bool operator!=(const settled_builds& a, const settled_builds& b) { return !(a == b); }
};

std::string EncodeSettledBuilds(const settled_builds& record);
/** Skips fields that are not known. */
expected<settled_builds> DecodeSettledBuilds(std::string_view text);

}  // namespace hawthorndrum
