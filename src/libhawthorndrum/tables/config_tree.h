/// A complete configuration in a daemon's memory.
#pragma once

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tables/config_head.h"
#include "tables/service_config.h"

namespace hawthorndrum {

/** A page: its bytes, and the digests of its leaves. */
struct loaded_page {
  std::string bytes;
  config_page leaves = config_page(kLeavesPerPage);
};

/** A leaf: its bytes, and its services sorted by name, without removed ones. */
struct loaded_leaf {
  content_digest digest;
  std::string bytes;
  std::vector<std::shared_ptr<const service_config>> services;
};

/**
 * Invariant: pages and leaves match the digests in the head and pages; an empty digest has a null
 * pointer. A new generation shares all unchanged pages and leaves with the old one.
 */
struct config_tree {
  config_head head;
  content_digest head_digest;
  std::string head_bytes;
  std::array<std::shared_ptr<const loaded_page>, kConfigPages> pages;
  std::array<std::shared_ptr<const loaded_leaf>, kConfigLeaves> leaves;

  /** Returns the service's configuration, or nullptr. */
  std::shared_ptr<const service_config> Find(std::string_view service) const;
  /** Returns the bytes of the head, page or leaf with that digest, or nullptr. */
  const std::string* FindPart(const content_digest& digest) const;
  std::size_t CountServices() const;
};

}  // namespace hawthorndrum
