/// Stamps the builds that were listed.
#include "resumes/build_history.h"

namespace hawthorndrum {

void build_history::Add(std::string_view service, software_build build) {
  added_.push_back({std::string(service), build});
}

void build_history::Observe(time_point now) {
  for (const listing& each : added_) last_listed_[each.service][each.build] = now;
  added_.clear();
}

std::set<software_build> build_history::Since(std::string_view service, time_point since) const {
  std::set<software_build> builds;
  const auto found = last_listed_.find(service);
  if (found != last_listed_.end()) {
    for (const auto& [build, at] : found->second) {
      if (at >= since) builds.insert(build);
    }
  }
  return builds;
}

}  // namespace hawthorndrum
