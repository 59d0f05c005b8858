/// Compares the builds and the targets of the last while.
#include "resumes/single_build.h"

#include <algorithm>

#include "base/hash.h"
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
  observed_at_ = now;
  // It was true of a time before the list, which other builds may have come to since.
  record_.reset();
}

void single_build::OnConfig(const gateway_config& config, time_point now) {
  std::map<route_key, target_set> current;
  std::uint64_t routes_id = 1;
  windows_.clear();
  longest_window_ = kShortestWindow;
  for (const route& each : config.routes) {
    if (!each.resumable) continue;
    route_key key(each.host, each.path_prefix);
    target_set set{{}, now};
    for (const weighted_service& target : each.targets) {
      set.services.push_back(target.service);
      duration& window = windows_[target.service];
      window = std::max(window, WindowOf(each));
    }
    longest_window_ = std::max(longest_window_, WindowOf(each));
    std::sort(set.services.begin(), set.services.end());
    const auto before = targets_.find(key);
    if (before != targets_.end() && before->second.services == set.services)
      set.since = before->second.since;
    current.emplace(std::move(key), std::move(set));
  }
  for (const auto& [key, set] : current) {
    routes_id = Hash64(key.second, Hash64(key.first, routes_id));
    for (const std::string& service : set.services) routes_id = Hash64(service, routes_id);
  }
  if (routes_id != routes_id_) routes_changed_at_ = now;
  routes_id_ = routes_id;
  targets_ = std::move(current);
}

void single_build::Observe(time_point now) {
  if (list_known_since_ && now - observed_at_ > kLongestGap) OnListRead(now);
  observed_at_ = now;
  fleet_.ForEach([&](const fleet_upstream& row) { builds_.Add(row.entry.service, row.build); });
  for (const auto& [service, build] : fleet_.TakeReplacedBuilds()) builds_.Add(service, build);
  builds_.Observe(now);
}

duration single_build::WindowOf(const route& matched) {
  return std::max<duration>(kShortestWindow, matched.timeout * kTimeoutsInWindow);
}

bool single_build::HasFollowedFor(duration window, const target_set& targets,
                                  time_point now) const {
  const time_point since = now - window;
  return list_known_since_ && *list_known_since_ <= since && targets.since <= since;
}

std::optional<software_build> single_build::Find(const route& matched, time_point now) {
  Observe(now);
  const auto targets = targets_.find(route_key(matched.host, matched.path_prefix));
  if (!follows_changes() || targets == targets_.end()) return std::nullopt;
  const duration window = WindowOf(matched);
  const bool has_followed = HasFollowedFor(window, targets->second, now);
  const bool is_recorded = record_ && record_->routes == routes_id_;
  if (!has_followed && !is_recorded) return std::nullopt;
  std::set<software_build> builds;
  for (const std::string& service : targets->second.services) {
    builds.merge(builds_.Since(service, now - window));
    if (has_followed) continue;
    const auto settled = record_->builds.find(service);
    if (settled == record_->builds.end()) return std::nullopt;
    builds.insert(settled->second);
  }
  if (builds.size() != 1) return std::nullopt;
  return *builds.begin();
}

bool single_build::NeedsRecord(const route& matched, time_point now) const {
  const auto targets = targets_.find(route_key(matched.host, matched.path_prefix));
  if (!follows_changes() || targets == targets_.end() || record_) return false;
  return !HasFollowedFor(WindowOf(matched), targets->second, now);
}

void single_build::OnRecord(const settled_builds* record, time_point now) {
  record_.reset();
  // A daemon that has followed the list for long knows more than the record.
  if (record == nullptr || !list_known_since_ || now - *list_known_since_ > longest_window_) return;
  record_ = *record;
}

settled_builds single_build::Update(const settled_builds& record, std::uint64_t era,
                                    time_point now) {
  Observe(now);
  const bool is_same_era = record.era == era;
  const auto has_followed_for = [&](duration window) {
    return list_known_since_ && now - *list_known_since_ >= window;
  };
  settled_builds updated;
  updated.era = era;
  const bool routes_settled =
      has_followed_for(longest_window_) && now - routes_changed_at_ >= longest_window_;
  const bool routes_kept = is_same_era && record.routes == routes_id_;
  if (routes_settled || routes_kept) updated.routes = routes_id_;
  for (const auto& [service, window] : windows_) {
    const std::set<software_build> seen = builds_.Since(service, now - window);
    if (has_followed_for(window) && seen.size() == 1) updated.builds[service] = *seen.begin();
    if (has_followed_for(window) || !is_same_era) continue;
    const auto kept = record.builds.find(service);
    if (kept == record.builds.end()) continue;
    const bool fits = seen.empty() || (seen.size() == 1 && *seen.begin() == kept->second);
    if (fits) updated.builds[service] = kept->second;
  }
  return updated;
}

}  // namespace hawthorndrum
