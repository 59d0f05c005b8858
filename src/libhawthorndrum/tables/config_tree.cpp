/// Finds services and parts in a configuration.
#include "tables/config_tree.h"

#include <algorithm>

namespace hawthorndrum {

std::shared_ptr<const service_config> config_tree::Find(std::string_view service) const {
  const std::shared_ptr<const loaded_leaf>& leaf = leaves[LeafOf(service)];
  if (leaf == nullptr) return nullptr;
  const auto found = std::lower_bound(
      leaf->services.begin(), leaf->services.end(), service,
      [](const auto& config, std::string_view name) { return config->name < name; });
  if (found == leaf->services.end() || (*found)->name != service) return nullptr;
  return *found;
}

const std::string* config_tree::FindPart(const content_digest& digest) const {
  if (digest.empty()) return nullptr;
  if (digest == head_digest) return &head_bytes;
  for (std::size_t i = 0; i < kConfigPages; ++i) {
    if (pages[i] != nullptr && head.pages[i] == digest) return &pages[i]->bytes;
  }
  for (const std::shared_ptr<const loaded_leaf>& leaf : leaves) {
    if (leaf != nullptr && leaf->digest == digest) return &leaf->bytes;
  }
  return nullptr;
}

std::size_t config_tree::CountServices() const {
  std::size_t count = 0;
  for (const std::shared_ptr<const loaded_leaf>& leaf : leaves) {
    if (leaf != nullptr) count += leaf->services.size();
  }
  return count;
}

}  // namespace hawthorndrum
