/// Which builds of a service were listed lately, and since when a daemon knows.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/units.h"

namespace hawthorndrum {

/**
 * A build counts as listed at a time if an upstream of it was in the host list then, or is still
 * used by this daemon. Builds are added as their entries arrive and stamped at the next
 * observation, so one that comes and goes between two observations is not missed.
 *
 * Invariant: the stamp of a build that has been added is never earlier than its last listing.
 */
class build_history {
 public:
  void Add(std::string_view service, software_build build);
  /** Stamps the builds added since the last observation with this time. */
  void Observe(time_point now);
  /** Returns the builds that were listed at any time since then. */
  std::set<software_build> Since(std::string_view service, time_point since) const;

 private:
  std::map<std::string, std::map<software_build, time_point>, std::less<>> last_listed_;
  struct listing {
    std::string service;
    software_build build;
  };
  std::vector<listing> added_;
};

}  // namespace hawthorndrum
