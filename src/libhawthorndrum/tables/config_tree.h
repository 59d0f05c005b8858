/// A whole configuration as a daemon holds it.
#pragma once

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tables/config_head.h"
#include "tables/service_config.h"

namespace hawthorndrum {

/** A page and the bytes that its digest names. */
struct held_page {
  std::string bytes;
  config_page leaves = config_page(kLeavesPerPage);
};

/** A leaf: its bytes, and its services sorted by name, the removed ones left out. */
struct held_leaf {
  content_digest digest;
  std::string bytes;
  std::vector<std::shared_ptr<const service_config>> services;
};

/**
 * Invariant: pages and leaves are those that the head names; an empty pointer stands for an empty
 * digest. A new generation shares every page and leaf that it did not change.
 */
struct config_tree {
  config_head head;
  content_digest head_digest;
  std::string head_bytes;
  std::array<std::shared_ptr<const held_page>, kConfigPages> pages;
  std::array<std::shared_ptr<const held_leaf>, kConfigLeaves> leaves;

  /** Returns the service's configuration, or nullptr. */
  std::shared_ptr<const service_config> Find(std::string_view service) const;
  /** Returns the bytes of the head, page or leaf with that digest, or nullptr. */
  const std::string* FindPart(const content_digest& digest) const;
  std::size_t CountServices() const;
};

}  // namespace hawthorndrum
