/// Assembles a new generation from its head and the parts that differ from the current one.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "tables/config_tree.h"

namespace hawthorndrum {

/**
 * Collects the parts of a generation that is not in force yet. Only parts whose digest differs from
 * the present tree's are needed; each is checked against its digest and decoded before it is kept.
 *
 * The tree passed to Begin must not change until the generation is applied to it or dropped.
 */
class config_assembler {
 public:
  /** Drops what was collected and starts with a new head. Fails when the head is malformed. */
  expected<config_head> Begin(std::string_view head_bytes, const config_tree& present);

  /** Adds a part if it is missing. Returns false when that part is damaged or malformed. */
  bool AddPart(const content_digest& digest, std::string_view bytes, const config_tree& present);

  bool started() const { return head_.number.value() != 0; }
  bool complete() const { return started() && missing_.empty(); }
  generation number() const { return head_.number; }
  /** Returns up to `limit` of the missing parts, in a fixed order. */
  std::vector<content_digest> MissingParts(std::size_t limit) const;
  std::size_t missing_count() const { return missing_.size(); }

  /** Moves the complete generation into the tree; parts that did not change stay untouched. */
  void ApplyTo(config_tree& tree);
  void Drop();

 private:
  /** The positions of a part in the tree; equal parts may have several. */
  struct part_positions {
    bool is_page = false;
    std::vector<std::size_t> positions;
  };

  void AddMissing(const content_digest& digest, bool is_page, std::size_t position);
  void AddMissingLeaves(std::size_t page, const config_page& leaves, const config_tree& present);
  bool AcceptPage(const part_positions& where, std::string_view bytes, const config_tree& present);
  bool AcceptLeaf(const content_digest& digest, const part_positions& where,
                  std::string_view bytes);

  config_head head_;
  content_digest head_digest_;
  std::string head_bytes_;
  std::map<content_digest, part_positions> missing_;
  std::map<std::size_t, std::shared_ptr<const loaded_page>> pages_;
  std::map<std::size_t, std::shared_ptr<const loaded_leaf>> leaves_;
};

}  // namespace hawthorndrum
