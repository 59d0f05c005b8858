/// Lookup of routes and services.
#include "gateway/gateway_config.h"

#include <algorithm>

namespace hawthorndrum {

void gateway_config::Index() {
  by_host_.clear();
  for (std::uint32_t index = 0; index < routes.size(); ++index) {
    by_host_[routes[index].host].push_back(index);
  }
  for (auto& [host, indices] : by_host_) {
    std::sort(indices.begin(), indices.end(), [this](std::uint32_t a, std::uint32_t b) {
      return routes[a].path_prefix.size() > routes[b].path_prefix.size();
    });
  }
}

void gateway_config::IndexKeys(std::uint64_t secret, const gateway_config* before) {
  if (teams.empty()) return;
  if (before != nullptr && before->teams == teams) {
    keys_ = before->keys_;
    return;
  }
  auto index = std::make_shared<key_index>(teams, secret);
  for (const shared_key& each : index->shared()) {
    const key_index* known = before == nullptr ? nullptr : before->keys();
    if (known == nullptr) break;
    const auto held = known->FindKey(before->teams, teams[each.team].keys[each.key]);
    const auto holder =
        held ? index->FindName(teams, before->teams[*held].name) : std::optional<std::uint32_t>();
    if (holder) index->Assign(teams, each, *holder);
  }
  keys_ = std::move(index);
}

const route* gateway_config::FindRoute(std::string_view host, std::string_view path) const {
  const auto found = by_host_.find(std::string(host));
  if (found == by_host_.end()) return nullptr;
  for (const std::uint32_t index : found->second) {
    const std::string& prefix = routes[index].path_prefix;
    if (path.substr(0, prefix.size()) == prefix) return &routes[index];
  }
  return nullptr;
}

const gateway_service* gateway_config::FindService(std::string_view name) const {
  for (const gateway_service& service : services) {
    if (service.name == name) return &service;
  }
  return nullptr;
}

}  // namespace hawthorndrum
