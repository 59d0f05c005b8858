/// Removes parts and history from the object store that no kept generation needs.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/content_digest.h"
#include "base/error.h"
#include "ports/store_call.h"
#include "tables/config_head.h"

namespace hawthorndrum {

class blocking_object_store;
class stored_config;

/** The result of a run. A dry run removes nothing. */
struct prune_report {
  std::uint64_t generations_kept = 0;
  std::uint64_t parts_kept = 0;
  std::vector<store_entry> unneeded;
  std::uint64_t removed = 0;
};

/**
 * Removes a part if no kept head references it and it is older than the head in force. No
 * publishing run in progress can come to reference such a part: if the run wrote it before that
 * head came into force, the run's conditional update fails, and it writes new parts. These differ
 * from the old ones because leaves contain the generation.
 */
class config_pruner {
 public:
  config_pruner(blocking_object_store& store, stored_config& config)
      : store_(store), config_(config) {}

  /** Keeps the newest `keep` generations; with `dry_run` only reports what it would remove. */
  expected<prune_report> Run(std::uint64_t keep, bool dry_run);

 private:
  expected<store_answer> List(std::string_view prefix);
  expected<void> AddReferencedParts(const config_head& head);
  expected<void> ReadKeptHeads(const config_head& newest, std::uint64_t keep);
  expected<void> FindUnneeded(const config_head& newest, object_version head_version,
                              std::uint64_t keep, prune_report& report);

  blocking_object_store& store_;
  stored_config& config_;
  std::set<std::string> referenced_parts_;
  std::uint64_t heads_kept_ = 0;
};

}  // namespace hawthorndrum
