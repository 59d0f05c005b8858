/// The head of a published configuration, the only object that publishing overwrites.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/content_digest.h"
#include "base/ids.h"

namespace hawthorndrum {

/** A configuration is a tree: the head lists 32 pages, and each page 32 leaves with services. */
inline constexpr std::size_t kConfigPages = 32;
inline constexpr std::size_t kLeavesPerPage = 32;
inline constexpr std::size_t kConfigLeaves = kConfigPages * kLeavesPerPage;

/** Who published a generation, when, and what it changed. */
struct publish_metadata {
  /** Random per run; shows whether a write whose answer was lost has succeeded. */
  std::uint64_t publish_id = 0;
  std::string author;
  std::string note;
  /** Seconds since 1970 on the publisher's clock; for display only. */
  std::int64_t time = 0;
  std::uint32_t changes = 0;
  /** Names of the first few services changed. */
  std::vector<std::string> services;
};

/**
 * Invariant: `pages` has kConfigPages digests; an empty digest stands for a page without services.
 */
struct config_head {
  generation number;
  publish_metadata published;
  std::vector<content_digest> pages = std::vector<content_digest>(kConfigPages);
};

/** A page: the digests of its leaves, kLeavesPerPage of them. */
using config_page = std::vector<content_digest>;

/** The leaf, from 0 to kConfigLeaves - 1, that holds the service of that name. */
std::size_t LeafOf(std::string_view service);

}  // namespace hawthorndrum
