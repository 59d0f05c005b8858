/// Removes from the object store what no kept generation needs any more.
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

/** What a run found; with a dry run nothing was removed. */
struct prune_report {
  std::uint64_t generations_kept = 0;
  std::uint64_t parts_kept = 0;
  std::vector<store_entry> unneeded;
  std::uint64_t removed = 0;
};

/**
 * A part may go when no kept head names it and it is older than the head in force. Then no
 * publishing run can name it either: one that wrote it before that head came into force loses its
 * conditional update and writes its parts anew, and those differ because leaves carry the new
 * generation.
 */
class config_pruner {
 public:
  config_pruner(blocking_object_store& store, stored_config& config)
      : store_(store), config_(config) {}

  /** Keeps the newest `keep` generations; with `dry_run` only looks. */
  expected<prune_report> Run(std::uint64_t keep, bool dry_run);

 private:
  expected<store_answer> List(std::string_view prefix);
  expected<void> KeepPartsOf(const config_head& head);
  expected<void> ReadKept(const config_head& newest, std::uint64_t keep);
  expected<void> FindUnneeded(const config_head& newest, object_version head_version,
                              std::uint64_t keep, prune_report& report);

  blocking_object_store& store_;
  stored_config& config_;
  std::set<std::string> kept_;
  std::uint64_t generations_ = 0;
};

}  // namespace hawthorndrum
