/// Compares the builds and the targets of the last while.
#include "resumes/single_build.h"

#include <algorithm>
#include <set>

#include "gateway/fleet_table.h"
#include "gateway/gateway_config.h"
#include "gateway/route.h"

namespace hawthorndrum {

namespace {

/** Of the route's timeout: streams that the last upstream of a build runs, and their callers. */
constexpr int kTimeoutsInWindow = 4;

}  // namespace

void single_build::OnListRead(time_point now) {
  list_known_since_ = now;
  list_is_current_ = true;
}

void single_build::OnConfig(const gateway_config& config, time_point now) {
  std::map<route_key, target_set> current;
  for (const route& each : config.routes) {
    if (!each.resumable) continue;
    route_key key(each.host, each.path_prefix);
    target_set set{{}, now};
    for (const weighted_service& target : each.targets) set.services.push_back(target.service);
    std::sort(set.services.begin(), set.services.end());
    const auto before = targets_.find(key);
    if (before != targets_.end() && before->second.services == set.services)
      set.since = before->second.since;
    current.emplace(std::move(key), std::move(set));
  }
  targets_ = std::move(current);
}

void single_build::Observe(time_point now) {
  fleet_.ForEach([&](const fleet_upstream& row) { builds_.Add(row.entry.service, row.build); });
  for (const auto& [service, build] : fleet_.TakeReplacedBuilds()) builds_.Add(service, build);
  builds_.Observe(now);
}

duration single_build::WindowOf(const route& matched) {
  return std::max<duration>(kShortestWindow, matched.timeout * kTimeoutsInWindow);
}

std::optional<software_build> single_build::Find(const route& matched, time_point now) {
  const time_point since = now - WindowOf(matched);
  if (!list_is_current_ || !config_is_current_) return std::nullopt;
  if (!list_known_since_ || *list_known_since_ > since) return std::nullopt;
  const auto targets = targets_.find(route_key(matched.host, matched.path_prefix));
  if (targets == targets_.end() || targets->second.since > since) return std::nullopt;
  Observe(now);
  std::set<software_build> builds;
  for (const std::string& service : targets->second.services)
    builds.merge(builds_.Since(service, since));
  if (builds.size() != 1) return std::nullopt;
  return *builds.begin();
}

}  // namespace hawthorndrum
