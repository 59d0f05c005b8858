/// The head of a published configuration: the one object that publishing changes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/content_digest.h"
#include "base/ids.h"

namespace hawthorndrum {

/** A configuration is a tree: the head names 32 pages, each page names 32 leaves of services. */
inline constexpr std::size_t kConfigPages = 32;
inline constexpr std::size_t kLeavesPerPage = 32;
inline constexpr std::size_t kConfigLeaves = kConfigPages * kLeavesPerPage;

/** Who published a generation, when, and what it changed. */
struct publish_mark {
  /** Drawn at random by each publishing run; tells whether a write whose answer was lost landed. */
  std::uint64_t publish_id = 0;
  std::string author;
  std::string note;
  /** Seconds since 1970 on the publisher's clock; for people only. */
  std::int64_t time = 0;
  std::uint32_t changes = 0;
  /** The first few names of the services changed. */
  std::vector<std::string> services;
};

/**
 * Invariant: `pages` has kConfigPages digests; an empty digest stands for a page without services.
 */
struct config_head {
  generation number;
  publish_mark made;
  std::vector<content_digest> pages = std::vector<content_digest>(kConfigPages);
};

/** A page: the digests of its leaves, kLeavesPerPage of them. */
using config_page = std::vector<content_digest>;

/** The leaf, from 0 to kConfigLeaves - 1, that holds the service of that name. */
std::size_t LeafOf(std::string_view service);

}  // namespace hawthorndrum
